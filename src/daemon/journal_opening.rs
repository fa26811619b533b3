//! Opens the journal at a start, and waits for a folder that cannot be read for a while.
use super::journal::{CorruptionReport, Journal};
use super::ports::Ports;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a journal that cannot be read is waited for. The platform expects most senders to be ready within 10 s.
const READ_PATIENCE: Duration = Duration::from_secs(8);
/// How often reading is tried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Opens the journal, which may take `disk_bytes`. One that cannot be read to the end of the patience is set aside.
pub async fn open_journal(ports: &Ports, disk_bytes: u64) -> (Journal, CorruptionReport) {
    let deadline = Instant::now() + READ_PATIENCE;
    let mut is_logged = false;
    loop {
        let error = match Journal::open(ports.storage.clone(), disk_bytes) {
            Ok(opened) => return opened,
            Err(error) => error,
        };
        if !std::mem::replace(&mut is_logged, true) {
            ports.log.line(&format!("{error}, retrying"));
        }
        if Instant::now() >= deadline {
            return Journal::open_unreadable(ports.storage.clone(), disk_bytes, &error.into_source());
        }
        sleep(RETRY_INTERVAL).await;
    }
}
