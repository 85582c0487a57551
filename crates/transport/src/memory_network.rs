//! In-memory streams within one thread, for several controllers in one process and for virtual time.

use crate::network::{Address, IoFuture, Listener, Network, Stream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Buffer size of a stream in each direction, which corresponds to a socket's buffers.
const STREAM_BUFFER_BYTES: usize = 64 << 10;

/// A network of in-memory streams within one thread. Clones share their listeners.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    listeners: Rc<RefCell<BTreeMap<Address, mpsc::UnboundedSender<Stream>>>>,
}

impl Network for MemoryNetwork {
    fn dial<'a>(&'a self, address: &'a Address) -> IoFuture<'a, Stream> {
        let (client_end, server_end) = tokio::io::duplex(STREAM_BUFFER_BYTES);
        let is_accepted = self
            .listeners
            .borrow()
            .get(address)
            .is_some_and(|listener| listener.send(Box::new(server_end)).is_ok());
        Box::pin(async move {
            if is_accepted {
                Ok(Box::new(client_end) as Stream)
            } else {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
        })
    }

    fn listen<'a>(&'a self, address: &'a Address) -> IoFuture<'a, (Box<dyn Listener>, Address)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let is_in_use = self
            .listeners
            .borrow()
            .get(address)
            .is_some_and(|listener| !listener.is_closed());
        if !is_in_use {
            self.listeners.borrow_mut().insert(address.clone(), sender);
        }
        Box::pin(async move {
            if is_in_use {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            Ok((Box::new(receiver) as Box<dyn Listener>, address.clone()))
        })
    }
}

impl Listener for mpsc::UnboundedReceiver<Stream> {
    fn accept(&mut self) -> IoFuture<'_, Stream> {
        Box::pin(async move {
            self.recv()
                .await
                .ok_or_else(|| io::ErrorKind::ConnectionAborted.into())
        })
    }
}
