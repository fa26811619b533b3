//! Opens the listening sockets for clients and operators, with retries after temporary errors.
use super::local_failure::is_local;
use super::ports::{Listener, Network};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time for which temporary errors are retried.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens at an address. Retries temporary errors, such as an address that another process is about to
/// release.
///
/// # Errors
/// The system's error, if it is permanent or persists.
pub async fn listen(network: &dyn Network, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match network.listen(address).await {
            Err(error) if is_temporary(&error) && Instant::now() < deadline => sleep(RETRY_DELAY).await,
            listener => return listener,
        }
    }
}

/// Returns whether an error of listening may be temporary.
fn is_temporary(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::AddrInUse || is_local(error) && kind != io::ErrorKind::AddrNotAvailable
}
