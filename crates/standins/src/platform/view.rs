//! The platform as one data centre sees it: from there, relays and entries may be
//! reached at other addresses.

use std::{io, net::SocketAddr, sync::Arc};

use guavacourse::modules::members::Member;

use super::server::{Shared, run};
use crate::{listener::Listener, thread::ServerThread};

/// Serves a platform's store and instance list at an additional address, with
/// some addresses in the list replaced. Dropping it stops and joins its thread.
#[derive(Debug)]
pub struct PlatformView {
    address: SocketAddr,
    shared: Arc<Shared>,
    _thread: ServerThread,
}

impl PlatformView {
    pub(super) fn start(address: SocketAddr, platform: &Shared) -> io::Result<Self> {
        let (listener, handle) = Listener::bind(address, usize::MAX)?;
        let address = listener.address();
        let shared = Arc::new(platform.view(handle));
        let served = Arc::clone(&shared);
        let thread = ServerThread::start("platform view", move || run(listener, served))?;
        Ok(Self {
            address,
            shared,
            _thread: thread,
        })
    }

    /// Returns the address that the view serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lists the process with the name and role of `member` at the address of
    /// `member`.
    pub fn override_address(&self, member: Member) {
        self.shared.address_overrides().push(member);
    }
}
