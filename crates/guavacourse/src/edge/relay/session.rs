//! The capabilities that entries use.

use std::rc::Rc;

use smol::LocalExecutor;

use super::{
    outbox::{Outbox, Remote},
    traffic::Traffic,
};
use crate::{
    edge::wire,
    generated::wire_capnp::{relay, session},
    modules::{admission::SessionId, call::AttemptId},
};

/// Why a relay that leaves opens no session.
const LEAVING: &str = "this relay leaves; use the next one";

/// Opens sessions.
pub(super) struct RelayCapability {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) traffic: Rc<Traffic>,
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
        let opened = self.traffic.open(outbox);
        let id = opened.ok_or_else(|| capnp::Error::overloaded(LEAVING.to_owned()))?;
        let session = SessionCapability {
            id,
            traffic: Rc::clone(&self.traffic),
        };
        let mut results = results.get();
        results.set_session(capnp_rpc::new_client(session));
        results.set_relay(&self.name);
        results.set_incarnation(self.incarnation);
        Ok(())
    }
}

/// One entry's session. Its calls are withdrawn when it is dropped.
struct SessionCapability {
    id: SessionId,
    traffic: Rc<Traffic>,
}

impl Drop for SessionCapability {
    fn drop(&mut self) {
        self.traffic.close(self.id);
    }
}

impl session::Server for SessionCapability {
    async fn submit(
        self: Rc<Self>,
        params: session::SubmitParams,
        _: session::SubmitResults,
    ) -> capnp::Result<()> {
        let parts = wire::read_parts(params.get()?.get_parts()?)?;
        self.traffic.submit(self.id, parts);
        Ok(())
    }

    async fn clear(
        self: Rc<Self>,
        params: session::ClearParams,
        _: session::ClearResults,
    ) -> capnp::Result<()> {
        let contents: Vec<u64> = params.get()?.get_fingerprints()?.iter().collect();
        self.traffic.clear(&contents);
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: session::CancelParams,
        _: session::CancelResults,
    ) -> capnp::Result<()> {
        let attempts = params.get()?.get_attempts()?;
        let attempts: Vec<AttemptId> = attempts.iter().map(AttemptId).collect();
        self.traffic.cancel(self.id, &attempts);
        Ok(())
    }
}
