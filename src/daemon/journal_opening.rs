//! Opens the journal at startup, with retries while the folder cannot be read.
use super::journal::{CorruptionReport, Journal};
use super::ports::Ports;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Reading the journal is retried for this time. The platform expects most senders to be ready within 10 s.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// The delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Opens the journal, which may use `disk_bytes`. A journal that remains unreadable is renamed, and an empty
/// one is created.
pub async fn open_journal(ports: &Ports, disk_bytes: u64) -> (Journal, CorruptionReport) {
    let deadline = Instant::now() + READ_TIMEOUT;
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
