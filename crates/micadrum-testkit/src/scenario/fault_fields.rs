//! The required and optional fields of `[[fault]]` tables, by kind of fault.
use super::fault::{Fault, FaultKind};
use std::collections::BTreeMap;

/// Fields that select destinations.
const DESTINATIONS: &[&str] = &["partners", "share", "building"];
/// Fields that select senders.
const SENDERS: &[&str] = &["senders", "share", "building"];

/// The fields of a kind of fault other than `kind` and `at`, which all kinds require.
pub(super) struct FaultFields {
    /// Fields that must be given.
    pub(super) required: &'static [&'static str],
    /// Further fields that may be given.
    pub(super) optional: &'static [&'static str],
}

impl FaultKind {
    /// Returns the required and optional fields of faults of this kind.
    pub(super) fn fields(self) -> FaultFields {
        let (required, optional): (&[&str], &[&str]) = match self {
            Self::Hang | Self::Shut | Self::Vanish | Self::Die | Self::DeadHosts => (&["for"], DESTINATIONS),
            Self::Late | Self::LateRejections => (&["for", "delay"], DESTINATIONS),
            Self::Stall => (&["for", "pause", "every"], DESTINATIONS),
            Self::Full | Self::Errors | Self::Spoil | Self::Reset | Self::LimitFalls => {
                (&["for", "calls"], DESTINATIONS)
            }
            Self::RepeatAnswers => (&["for", "calls", "delay"], &["partners", "share", "building", "after"]),
            Self::RepeatAgentAnswers => {
                (&["for", "calls", "delay"], &["senders", "share", "building", "after"])
            }
            Self::SlowAgent => (&["for", "delay"], SENDERS),
            Self::CutRequests => (&["for", "calls", "delay"], SENDERS),
            Self::Drain | Self::Move | Self::Rename => (&[], DESTINATIONS),
            Self::MoveDiscovery => (&[], SENDERS),
            Self::ListLag | Self::LinkDelay => (&["for", "delay"], &[]),
            Self::LinkHold | Self::LinkDrop => (&["for"], &[]),
            Self::ListSilent
            | Self::Deaf
            | Self::DiskFull
            | Self::SyncFails
            | Self::SyncHangs
            | Self::SyncLies
            | Self::Pause => (&["for"], SENDERS),
            Self::SystemCalls => (&["for", "call"], &["senders", "share", "building", "calls"]),
            Self::WallClock => (&["step"], &["senders", "share", "building", "backward"]),
            Self::Folder => (&["for"], &["senders", "share", "building", "calls", "error", "torn"]),
            Self::Restart => {
                (&["how"], &["senders", "share", "building", "batch", "every", "down", "folder"])
            }
            Self::PowerLoss => (
                &["for"],
                &["senders", "share", "building", "back", "folder", "never", "clock", "with_partners"],
            ),
            Self::MachineLost => (&[], &["senders", "share", "building", "down"]),
            Self::KillAtWrite => (&["nth", "where"], &["senders", "share", "building", "down"]),
            Self::Cut => (&["for"], &["senders", "share", "building", "ways", "between", "from_partners"]),
            Self::Slow => (&["for", "delay"], &["senders", "share", "building", "jitter"]),
            Self::Lose => (&["for", "calls"], SENDERS),
            Self::Break => (&["for", "every"], SENDERS),
        };
        FaultFields { required, optional }
    }

    /// Returns whether the fault affects endpoints of destinations.
    pub fn affects_destinations(self) -> bool {
        self.fields().optional.contains(&"partners")
    }
}

impl Fault {
    /// Returns whether each field is given, by its name in scenario files.
    pub(super) fn given_fields(&self) -> BTreeMap<&'static str, bool> {
        BTreeMap::from([
            ("for", self.duration.is_some()),
            ("partners", self.destinations.is_some()),
            ("never", self.lost_share.is_some()),
            ("clock", self.max_clock_error.is_some()),
            ("with_partners", self.includes_endpoints.is_some()),
            ("share", self.share.is_some()),
            ("building", self.zone.is_some()),
            ("calls", self.call_share.is_some()),
            ("senders", self.senders.is_some()),
            ("how", self.stop_method.is_some()),
            ("batch", self.batch.is_some()),
            ("every", self.interval.is_some()),
            ("pause", self.pause.is_some()),
            ("delay", self.delay.is_some()),
            ("nth", self.nth.is_some()),
            ("where", self.write_point.is_some()),
            ("down", self.downtime.is_some()),
            ("ways", self.direction.is_some()),
            ("between", self.cut_peers.is_some()),
            ("from_partners", self.cuts_destinations.is_some()),
            ("jitter", self.jitter.is_some()),
            ("back", self.return_period.is_some()),
            ("folder", self.folder.is_some()),
            ("call", self.call.is_some()),
            ("error", self.error.is_some()),
            ("torn", self.torn.is_some()),
            ("after", self.repeat_trigger.is_some()),
            ("step", self.step.is_some()),
            ("backward", self.backward.is_some()),
        ])
    }
}
