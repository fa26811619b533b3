//! Relays of the links between the processes of a live run, which delay, hold or break them.
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
    let last_broken_at = Rc::<Cell<Option<u64>>>::default();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        let (peer_address, link_faults, last_broken_at) =
            (peer_address.clone(), link_faults.clone(), last_broken_at.clone());
        spawn_local(async move {
            let Some(peer_address) = peer_address.get() else { return };
            let Ok(peer) = TcpStream::connect(peer_address).await else { return };
            let ((client_in, client_out), (peer_in, peer_out)) = (client.into_split(), peer.into_split());
            let direction = |from, to| RelayedDirection {
                from,
                to,
                link_faults: link_faults.clone(),
                started_at,
                last_broken_at: last_broken_at.clone(),
            };
            // When one direction ends or breaks, the whole link is closed.
            tokio::select! {
                () = direction(from, to).forward(client_in, peer_out) => {}
                () = direction(to, from).forward(peer_in, client_out) => {}
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
    last_broken_at: Rc<Cell<Option<u64>>>,
}

impl RelayedDirection {
    /// Forwards bytes, subject to the link faults, until either connection ends or the link breaks.
    async fn forward(self, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let Ok(length @ 1..) = read.read(&mut buffer).await else { return };
            loop {
                let now = self.started_at.elapsed().as_micros() as u64;
                let effect =
                    self.link_faults.borrow().link_effect(self.from, self.to, now, &self.last_broken_at);
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
