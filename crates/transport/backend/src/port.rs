//! Probes whether a process listens on an address.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// `Port` is what an attempt to connect shows about an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// A process accepts connections.
    Open,
    /// The machine answers, but no process listens.
    Closed,
    /// Nothing answers: the machine is down, or the link to it is lost.
    Silent,
}

/// Connects to `addr` and closes the connection again.
pub async fn probe(addr: SocketAddr, deadline: Instant) -> Port {
    match timeout_at(deadline, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Port::Open,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Port::Closed,
        Ok(Err(_)) | Err(_) => Port::Silent,
    }
}
