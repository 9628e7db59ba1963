//! What happens to an admitted action, and to its calls at the leaves.

use super::*;

impl World {
    /// The instance that minted the ticket decides.
    pub(super) fn admit(mut self, copy: &RequestCopy, ticket: &Ticket, setting: &Setting) -> Self {
        let variant = self.variant;
        let entry = &mut self.entries[copy.at];
        let same = ticket.incarnation == entry.incarnation;
        if !same && variant != Variant::IncarnationIgnored {
            self.tell_unstarted(UnknownCause::IssuerGone, copy.first);
            return self;
        }
        let admission = entry.ledger.begin(ticket.serial, DIGEST, Time(entry.clock));
        match admission {
            Admission::Expired if variant == Variant::NoFloor => self.run(copy.at, ticket, setting),
            Admission::Ended(ActionOutcome::NotRun(_)) if variant == Variant::RefusalForgotten => {
                self.run(copy.at, ticket, setting);
            }
            Admission::Running if variant == Variant::RunningIgnored => {
                self.run(copy.at, ticket, setting);
            }
            Admission::Run => self.run(copy.at, ticket, setting),
            Admission::Running => {}
            Admission::Ended(outcome) => self.tell_final(&outcome),
            Admission::Mismatch => unreachable!("the caller repeats one request"),
            Admission::Expired => self.tell_unstarted(UnknownCause::Expired, copy.first),
        }
        self
    }

    fn run(&mut self, at: usize, ticket: &Ticket, setting: &Setting) {
        let request = ActionRequest {
            kind: "book".to_owned(),
            key: 3,
            body: Arc::from(*b"{}"),
            deadline: DEADLINE,
            id: ticket.action_id(),
        };
        let entry = &mut self.entries[at];
        let first = AttemptId(ticket.serial.0 * 10);
        let now = Time(entry.clock);
        let (action, steps) = Action::start(&setting.view, request, &setting.choices, first, now);
        entry.actions.push((ticket.serial, action));
        self.take_steps(at, ticket.serial, steps);
    }

    fn take_steps(&mut self, at: usize, serial: Serial, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Send { part, .. } => self.send(at, part.calls[0].attempt),
                Step::Cancel { .. } => {}
                Step::Finish(outcome) => self.finish(at, serial, &outcome),
            }
        }
    }

    fn send(&mut self, at: usize, attempt: AttemptId) {
        let call = LeafCall {
            entry: at,
            incarnation: self.entries[at].incarnation,
            attempt,
            state: CallState::Sent,
        };
        if self.variant == Variant::Hedged {
            let state = CallState::Abandoned;
            self.calls.push(LeafCall {
                state,
                ..call.clone()
            });
        }
        self.calls.push(call);
    }

    fn finish(&mut self, at: usize, serial: Serial, outcome: &ActionOutcome) {
        let entry = &mut self.entries[at];
        entry.actions.retain(|(other, _)| *other != serial);
        entry
            .ledger
            .finish(serial, outcome.clone(), Time(entry.clock));
        self.write_back(at, serial, outcome);
        self.tell_final(outcome);
    }

    /// Keeps the outcome with the claim that names the ticket.
    fn write_back(&mut self, at: usize, serial: Serial, outcome: &ActionOutcome) {
        let name = ticket(at, self.entries[at].incarnation, serial).to_string();
        if let Some(record) = &mut self.store
            && record.ticket == name
        {
            record.outcome = Some(outcome.clone());
        }
    }

    pub(super) fn call_steps(&self, i: usize, setting: &Setting, next: &mut Vec<Self>) {
        let call = &self.calls[i];
        match call.state {
            CallState::Sent => {
                let mut ran = self.clone();
                ran.runs += 1;
                ran.calls[i].state = CallState::Ran;
                next.push(ran);
                let mut refused = self.clone();
                refused.calls[i].state = CallState::Refused;
                next.push(refused);
                let mut waiting = self.clone();
                waiting.calls[i].state = CallState::Abandoned;
                next.push(waiting.deliver(call, setting, Outcome::Unknown(Unknown::Timeout)));
            }
            CallState::Abandoned => {
                let mut world = self.clone();
                world.calls.remove(i);
                next.push(world.clone());
                world.runs += 1;
                next.push(world);
            }
            CallState::Ran => {
                let mut world = self.clone();
                world.calls.remove(i);
                next.push(world.clone().deliver(call, setting, rows()));
                next.push(world.deliver(call, setting, Outcome::Unknown(Unknown::Closed)));
            }
            CallState::Refused => {
                let mut world = self.clone();
                world.calls.remove(i);
                next.push(
                    world
                        .clone()
                        .deliver(call, setting, Outcome::NotRun(NotRun::Shed)),
                );
                next.push(world.deliver(call, setting, Outcome::Unknown(Unknown::Closed)));
            }
        }
    }

    /// Hands a reply to the entry, if the process that sent the call lives.
    fn deliver(mut self, call: &LeafCall, setting: &Setting, outcome: Outcome) -> Self {
        let entry = &mut self.entries[call.entry];
        if entry.incarnation != call.incarnation {
            return self;
        }
        let exposed = self.variant == Variant::RetryAfterExposure;
        let outcome = match outcome {
            Outcome::Unknown(_) if exposed => Outcome::NotRun(NotRun::Shed),
            other => other,
        };
        let reply = Reply {
            attempt: call.attempt,
            queued: 0,
            service: Duration::ZERO,
            outcome,
        };
        let now = Time(entry.clock);
        let mut taken = Vec::new();
        for (serial, action) in &mut entry.actions {
            taken.push((
                *serial,
                action.on_reply(&reply, |_| Some(setting.choices.clone()), now),
            ));
        }
        for (serial, steps) in taken {
            self.take_steps(call.entry, serial, steps);
        }
        self
    }
}

fn rows() -> Outcome {
    Outcome::Rows(Rows {
        version: 1,
        newest: 1,
        epoch: 0,
        range: KeyRange::new(0, 9),
        body: Arc::from(*b"[]"),
        origin: None,
    })
}
