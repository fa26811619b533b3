//! Relays of the links between real senders: delayed, held, or broken within a frame.
use crate::link_faults::{LinkEffect, LinkFaults};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The interval at which a held link is checked.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Relays the links that `from` opens to `to`.
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
            // Where one direction ends or breaks, so does the other.
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
    /// When a link between the two was last broken.
    broken: Rc<Cell<Option<u64>>>,
}

impl RelayedDirection {
    async fn carry(self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let Ok(length @ 1..) = read.read(&mut buffer).await else { return };
            loop {
                let now = self.started_at.elapsed().as_micros() as u64;
                let effect = self.link_faults.borrow().link_effect(self.from, self.to, now, &self.broken);
                match effect {
                    LinkEffect::Delayed(delay) => {
                        sleep(delay).await;
                        break;
                    }
                    LinkEffect::Held => sleep(HOLD_POLL_INTERVAL).await,
                    LinkEffect::Breaks => {
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
