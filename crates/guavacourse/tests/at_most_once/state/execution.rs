//! Admission of an action at an entry, and its calls to leaves.

use super::*;

impl State {
    /// Runs the action or reports its outcome, at the entry that minted the ticket.
    pub(super) fn admit(mut self, copy: &RequestCopy, ticket: &Ticket, env: &Environment) -> Self {
        let variant = self.variant;
        let entry = &mut self.entries[copy.entry];
        let same = ticket.incarnation == entry.incarnation;
        if !same && variant != Variant::IncarnationIgnored {
            self.report_unstarted(UnknownCause::IssuerGone, copy.first);
            return self;
        }
        let admission = entry.ledger.begin(ticket.serial, DIGEST, Time(entry.clock));
        match admission {
            LedgerAdmission::Expired if variant == Variant::NoFloor => {
                self.run(copy.entry, ticket, env);
            }
            LedgerAdmission::Ended(ActionOutcome::NotRun(_))
                if variant == Variant::RefusalForgotten =>
            {
                self.run(copy.entry, ticket, env);
            }
            LedgerAdmission::Running if variant == Variant::RunningIgnored => {
                self.run(copy.entry, ticket, env);
            }
            LedgerAdmission::Run => self.run(copy.entry, ticket, env),
            LedgerAdmission::Running => {}
            LedgerAdmission::Ended(outcome) => self.report_final(&outcome),
            LedgerAdmission::Mismatch => unreachable!("all copies carry the same request"),
            LedgerAdmission::Expired => self.report_unstarted(UnknownCause::Expired, copy.first),
        }
        self
    }

    fn run(&mut self, at: usize, ticket: &Ticket, env: &Environment) {
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
        let (action, steps) = Action::start(&env.view, request, &env.choices, first, now);
        entry.actions.push((ticket.serial, action));
        self.apply_steps(at, ticket.serial, steps);
    }

    fn apply_steps(&mut self, at: usize, serial: Serial, steps: Vec<Step>) {
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
        self.report_final(outcome);
    }

    /// Stores the outcome in the claim that names the ticket, if there is one.
    fn write_back(&mut self, at: usize, serial: Serial, outcome: &ActionOutcome) {
        let name = ticket(at, self.entries[at].incarnation, serial).to_string();
        if let Some(record) = &mut self.store
            && record.ticket == name
        {
            record.outcome = Some(outcome.clone());
        }
    }

    /// Adds the states that a call to a leaf may lead to.
    pub(super) fn call_steps(&self, i: usize, env: &Environment, next: &mut Vec<Self>) {
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
                let mut timed_out = self.clone();
                timed_out.calls[i].state = CallState::Abandoned;
                next.push(timed_out.deliver(call, env, Outcome::Unknown(Unknown::Timeout)));
            }
            CallState::Abandoned => {
                let mut state = self.clone();
                state.calls.remove(i);
                next.push(state.clone());
                state.runs += 1;
                next.push(state);
            }
            CallState::Ran => {
                let mut state = self.clone();
                state.calls.remove(i);
                next.push(state.clone().deliver(call, env, rows()));
                next.push(state.deliver(call, env, Outcome::Unknown(Unknown::Closed)));
            }
            CallState::Refused => {
                let mut state = self.clone();
                state.calls.remove(i);
                next.push(
                    state
                        .clone()
                        .deliver(call, env, Outcome::NotRun(NotRun::Shed)),
                );
                next.push(state.deliver(call, env, Outcome::Unknown(Unknown::Closed)));
            }
        }
    }

    /// Delivers a reply to the entry, unless it has restarted since it sent the
    /// call.
    fn deliver(mut self, call: &LeafCall, env: &Environment, outcome: Outcome) -> Self {
        let entry = &mut self.entries[call.entry];
        if entry.incarnation != call.incarnation {
            return self;
        }
        let retries_unknown = self.variant == Variant::RetryAfterUnknown;
        let outcome = match outcome {
            Outcome::Unknown(_) if retries_unknown => Outcome::NotRun(NotRun::Shed),
            other => other,
        };
        let reply = Reply {
            attempt: call.attempt,
            queued: 0,
            service: Duration::ZERO,
            retry_after: Duration::ZERO,
            load: None,
            outcome,
        };
        let now = Time(entry.clock);
        let mut steps_by_action = Vec::new();
        for (serial, action) in &mut entry.actions {
            steps_by_action.push((
                *serial,
                action.on_reply(&reply, |_| Some(env.choices.clone()), now),
            ));
        }
        for (serial, steps) in steps_by_action {
            self.apply_steps(call.entry, serial, steps);
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
