//! Cap'n Proto capabilities that a relay offers to entries.

use std::rc::Rc;

use smol::LocalExecutor;

use super::{
    dispatcher::Dispatcher,
    outbox::{Outbox, Remote},
};
use crate::{
    edge::wire,
    generated::wire_capnp::{relay, session},
    modules::{admission::SessionId, call::AttemptId},
};

/// Error of a leaving relay that is asked to open a session.
const LEAVING_ERROR: &str = "this relay leaves; use the next one";

/// Capability that opens sessions.
pub(super) struct RelayCapability {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) name: String,
    pub(super) incarnation: u64,
}

impl relay::Server for RelayCapability {
    async fn open(
        self: Rc<Self>,
        params: relay::OpenParams,
        mut results: relay::OpenResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let entry = params.get_entry()?.to_str()?;
        tracing::debug!(entry, "an entry opened a session");
        let outbox = Outbox::Remote(Remote::new(&self.executor, params.get_sink()?));
        let opened = self.dispatcher.open(outbox);
        let id = opened.ok_or_else(|| capnp::Error::overloaded(LEAVING_ERROR.to_owned()))?;
        let session = SessionCapability {
            id,
            dispatcher: Rc::clone(&self.dispatcher),
        };
        let mut results = results.get();
        results.set_session(capnp_rpc::new_client(session));
        results.set_relay(&self.name);
        results.set_incarnation(self.incarnation);
        Ok(())
    }
}

/// Session of one entry. Dropping it cancels its calls.
struct SessionCapability {
    id: SessionId,
    dispatcher: Rc<Dispatcher>,
}

impl Drop for SessionCapability {
    fn drop(&mut self) {
        self.dispatcher.close(self.id);
    }
}

impl session::Server for SessionCapability {
    async fn submit(
        self: Rc<Self>,
        params: session::SubmitParams,
        _: session::SubmitResults,
    ) -> capnp::Result<()> {
        let parts = wire::read_parts(params.get()?.get_parts()?)?;
        self.dispatcher.submit(self.id, parts);
        Ok(())
    }

    async fn clear(
        self: Rc<Self>,
        params: session::ClearParams,
        _: session::ClearResults,
    ) -> capnp::Result<()> {
        let contents: Vec<u64> = params.get()?.get_fingerprints()?.iter().collect();
        self.dispatcher.clear(&contents);
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: session::CancelParams,
        _: session::CancelResults,
    ) -> capnp::Result<()> {
        let attempts = params.get()?.get_attempts()?;
        let attempts: Vec<AttemptId> = attempts.iter().map(AttemptId).collect();
        self.dispatcher.cancel(self.id, &attempts);
        Ok(())
    }
}
