//! Listening for clients and operators, as soon as the system allows it.
use super::local_failure::is_local;
use super::ports::{Listener, Network};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an address that cannot be listened at is waited for.
const PATIENCE: Duration = Duration::from_secs(5);
/// How often listening is tried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens at an address. One that another process holds may be free in a moment.
///
/// # Errors
/// The system's error, if it does not pass.
pub async fn listen(network: &dyn Network, address: SocketAddr) -> io::Result<Box<dyn Listener>> {
    let deadline = Instant::now() + PATIENCE;
    loop {
        match network.listen(address).await {
            Err(error) if is_temporary(&error) && Instant::now() < deadline => sleep(RETRY_DELAY).await,
            listener => return listener,
        }
    }
}

/// Whether an error of listening may pass.
fn is_temporary(error: &io::Error) -> bool {
    let kind = error.kind();
    kind == io::ErrorKind::AddrInUse || is_local(error) && kind != io::ErrorKind::AddrNotAvailable
}
