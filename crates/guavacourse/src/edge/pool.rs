//! A pool of connections to other processes, each with one capability of the
//! remote process.

use std::{cell::RefCell, io, rc::Rc};

use smol::LocalExecutor;

use crate::{
    edge::fleet::{self, Link},
    generated::wire_capnp::node,
    modules::{collections::Map, inventory::Address},
};

/// An open connection and the capability that is called over it.
pub(crate) struct PooledConnection<C> {
    link: Link,
    /// The capability of the remote process.
    pub(crate) capability: C,
}

/// Open connections by remote address.
pub(crate) struct Pool<C> {
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: fn(&node::Client) -> C,
    open: RefCell<Map<Address, Rc<PooledConnection<C>>>>,
}

impl<C> Pool<C> {
    /// Creates an empty pool; `bootstrap` requests the capability from a process.
    pub(crate) fn new(
        executor: &Rc<LocalExecutor<'static>>,
        bootstrap: fn(&node::Client) -> C,
    ) -> Self {
        Self {
            executor: Rc::clone(executor),
            bootstrap,
            open: RefCell::default(),
        }
    }

    /// Returns the connection to a process, and opens one if there is none or it
    /// has broken.
    ///
    /// # Errors
    ///
    /// Returns why it could not be opened; no call was sent in this case.
    pub(crate) async fn get(&self, address: Address) -> io::Result<Rc<PooledConnection<C>>> {
        let open = self.open.borrow().get(&address).cloned();
        if let Some(open) = open.filter(|open| !open.link.driver.is_finished()) {
            return Ok(open);
        }
        let link = fleet::connect(&self.executor, address.0).await?;
        let capability = (self.bootstrap)(&link.node);
        let connection = Rc::new(PooledConnection { link, capability });
        self.open
            .borrow_mut()
            .insert(address, Rc::clone(&connection));
        Ok(connection)
    }

    /// Removes all connections.
    pub(crate) fn clear(&self) {
        self.open.borrow_mut().clear();
    }

    /// Removes a connection, which is closed when its last user drops it.
    pub(crate) fn remove(&self, address: Address) {
        self.open.borrow_mut().remove(&address);
    }
}
