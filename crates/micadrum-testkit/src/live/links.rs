//! Relays of the links between the processes of a live run, which delay, hold or break them.
use crate::link_faults::{FaultWindow, LinkFaults};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Interval at which a held link checks whether its fault has ended.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Relays the links that the sender `from` opens to the sender `to`, once `peer_address` is set.
pub async fn relay(
    listener: TcpListener,
    from: u32,
    to: u32,
    peer_address: Rc<Cell<Option<SocketAddr>>>,
    link_faults: Rc<RefCell<LinkFaults>>,
) {
    let started_at = Instant::now();
    let broken = Rc::<Cell<Option<u64>>>::default();
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        let (peer_address, link_faults, broken) = (peer_address.clone(), link_faults.clone(), broken.clone());
        spawn_local(async move {
            let Some(peer_address) = peer_address.get() else { return };
            let Ok(far) = TcpStream::connect(peer_address).await else { return };
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            let direction = |from, to| RelayedDirection {
                from,
                to,
                link_faults: link_faults.clone(),
                started_at,
                broken: broken.clone(),
            };
            // When one direction ends or breaks, the whole link is closed.
            tokio::select! {
                () = direction(from, to).carry(near_in, far_out) => {}
                () = direction(to, from).carry(far_in, near_out) => {}
            }
        });
    }
}

/// One direction of a link.
struct RelayedDirection {
    from: u32,
    to: u32,
    link_faults: Rc<RefCell<LinkFaults>>,
    started_at: Instant,
    /// When a link between the two senders was last broken, in microseconds since `started_at`.
    broken: Rc<Cell<Option<u64>>>,
}

impl RelayedDirection {
    async fn carry(self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let Ok(length @ 1..) = read.read(&mut buffer).await else { return };
            loop {
                let now = self.started_at.elapsed().as_micros() as u64;
                let window = self.link_faults.borrow().fault_window(self.from, self.to, now, &self.broken);
                match window {
                    FaultWindow::Delayed(delay) => {
                        sleep(delay).await;
                        break;
                    }
                    FaultWindow::Held => sleep(HOLD_POLL_INTERVAL).await,
                    FaultWindow::Breaks => {
                        let _ = write.write_all(&buffer[..length / 2]).await;
                        return;
                    }
                }
            }
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
