//! The reports of this sender to peers that are recovering.
use super::events::{AdminRequest, LoopEvent};
use super::membership::PeerReportSource;
use super::ports::WallClock;
use super::recovery::RecoveryStatus;
use micadrum_recovery::PeerReport;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Returns a function that creates reports. While this sender is recovering itself, its reports contain no
/// endpoints.
pub fn source(
    recovery: RecoveryStatus,
    events: UnboundedSender<LoopEvent>,
    wall: Rc<dyn WallClock>,
) -> PeerReportSource {
    let started_at = Instant::now();
    Rc::new(move || {
        let (recovery, events, wall) = (recovery.clone(), events.clone(), wall.clone());
        Box::pin(async move {
            let mut report = PeerReport::default();
            // Before this sender may send messages, it has no observations of endpoints.
            if recovery.sends_backlog() {
                let (reply, replied) = oneshot::channel();
                let _ = events.send(LoopEvent::Admin(AdminRequest::PeerReport(reply)));
                report.endpoints = replied.await.unwrap_or_default();
                report.at_full_service_us = recovery.at_full_service_us(started_at.elapsed());
            }
            report.wall_us = wall.now().as_micros() as u64;
            report.bounded()
        })
    })
}
