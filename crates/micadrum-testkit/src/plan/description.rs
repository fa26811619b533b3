//! Descriptions of planned faults for reports.
use super::model::PlannedFault;
use crate::scenario::{FaultKind, FolderContent};
use crate::units::Span;

impl PlannedFault {
    /// Returns a line that describes the fault with its targets and parameters.
    pub fn describe(&self) -> String {
        let mut parts = vec![format!("{:?} at {}", self.kind, self.from)];
        if self.until > self.from {
            parts.push(format!("until {}", self.until));
        }
        if !self.endpoints.is_empty() {
            parts.push(format!("endpoints {:?}", self.endpoints));
        }
        if !self.senders.is_empty() {
            parts.push(format!("senders {:?}", self.senders));
        }
        parts.extend(self.parameters());
        parts.join(", ")
    }

    /// Returns descriptions of the parameters that this kind of fault uses.
    fn parameters(&self) -> Vec<String> {
        match self.kind {
            FaultKind::LimitFalls => vec![format!("limit reduced to {:.0}%", self.call_share * 100.0)],
            FaultKind::Full | FaultKind::Errors | FaultKind::Spoil | FaultKind::Reset => {
                vec![format!("{:.0}% of the calls", self.call_share * 100.0)]
            }
            FaultKind::CutRequests => vec![format!(
                "{:.0}% of the requests cut, up to {} apart",
                self.call_share * 100.0,
                self.delay
            )],
            FaultKind::RepeatAnswers | FaultKind::RepeatAgentAnswers => vec![format!(
                "{:.0}% of the answers, up to {} after {:?}",
                self.call_share * 100.0,
                self.delay,
                self.repeat_trigger
            )],
            FaultKind::Late
            | FaultKind::LateRejections
            | FaultKind::ListLag
            | FaultKind::SlowAgent
            | FaultKind::LinkDelay => vec![format!("delay {}", self.delay)],
            FaultKind::Stall => vec![format!("a pause of {} every {}", self.pause, self.interval)],
            FaultKind::Restart => self.restart_parameters(),
            FaultKind::PowerLoss => self.power_loss_parameters(),
            FaultKind::KillAtWrite => vec![format!("{:?} write number {}", self.write_point, self.nth)],
            FaultKind::Cut => vec![self.cut_parameters()],
            FaultKind::Slow => vec![format!("delay {}, jitter up to {}", self.delay, self.jitter)],
            FaultKind::Break => vec![format!("one break every {}", self.interval)],
            FaultKind::SystemCalls => {
                vec![format!("{:?}, {:.2}% of the calls", self.system.call, self.call_share * 100.0)]
            }
            FaultKind::WallClock => vec![format!("step {} us", self.system.step_us)],
            FaultKind::Folder => vec![format!(
                "error {:?}, torn: {}, {:.2}% of the calls",
                self.system.error,
                self.system.is_torn,
                self.call_share * 100.0
            )],
            FaultKind::Lose => vec![format!("{:.0}% of the datagrams", self.call_share * 100.0)],
            _ => Vec::new(),
        }
    }

    fn restart_parameters(&self) -> Vec<String> {
        let batch = self.batch.min(self.senders.len());
        let mut parts =
            vec![format!("{:?}, {batch} at once, a batch every {}", self.stop_method, self.interval)];
        if self.folder != FolderContent::Kept {
            parts.push(format!("folder {:?}", self.folder));
        }
        parts
    }

    fn power_loss_parameters(&self) -> Vec<String> {
        let mut parts =
            vec![format!("restarts spread over {}, folder {:?}", self.return_period, self.folder)];
        if !self.lost_senders.is_empty() {
            parts.push(format!("lost senders {:?}", self.lost_senders));
        }
        if self.max_clock_error > Span(0) {
            parts.push(format!("clock errors up to {}", self.max_clock_error));
        }
        parts
    }

    fn cut_parameters(&self) -> String {
        let peers = self.cut_peers.as_ref().map_or(String::new(), |senders| format!(", peers {senders:?}"));
        format!("direction {:?}{peers}, cuts destinations: {}", self.direction, self.cuts_destinations)
    }
}
