//! Checkpoints of the endpoint list and the engine's route states: restored at startup, and written step by
//! step.
use super::EventLoop;
use super::endpoint_table::TrackedEndpoint;
use crate::daemon::checkpoint::file::{CheckpointFile, CheckpointWrite};
use crate::daemon::checkpoint::restore::{ObservationTimes, ObservedEndpoint, StartKind, restore};
use crate::daemon::checkpoint::schedule::{CheckpointSchedule, CheckpointStep};
use crate::daemon::checkpoint::{Checkpoint, DiscoveryVersion, EndpointCheckpoint};
use crate::daemon::clock::ClockContinuity;
use crate::daemon::endpoint_list::EndpointList;
use crate::{EndpointId, RouteSnapshot, TimeDelta, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use std::io;
use tokio::time::Instant;

/// The checkpoint file, the schedule of writes to it, and the version of the endpoint list.
pub(super) struct Checkpointing {
    pub(super) file: CheckpointFile,
    pub(super) schedule: CheckpointSchedule,
    /// The latest version of the endpoint list; `None` if the whole list is to be requested.
    pub(super) version: Option<DiscoveryVersion>,
    /// Whether the discovery agent has reset its revision counter, so that its versions cannot be compared
    /// with those that other processes have stored.
    has_version_reset: bool,
}

impl Checkpointing {
    /// Creates the checkpoint state of an event loop that has no version of the endpoint list yet.
    pub(super) fn new(file: CheckpointFile, schedule: CheckpointSchedule) -> Self {
        Self { file, schedule, version: None, has_version_reset: false }
    }

    /// Returns the version of the list, if other processes can compare theirs with it.
    fn comparable_version(&self) -> Option<DiscoveryVersion> {
        self.version.filter(|_| !self.has_version_reset)
    }

    /// Sets the version of the list. Returns `false` if the agent has reset its revision counter, so that the
    /// version in the file would be mistaken for a newer one.
    fn advance_version(&mut self, version: DiscoveryVersion) -> bool {
        let before = self.version.replace(version);
        if before.is_some_and(|before| version.is_reset_since(before)) {
            self.has_version_reset = true;
            return false;
        }
        self.has_version_reset &= before.is_none_or(|before| before.agent == version.agent);
        true
    }

    fn finish_file(&mut self) -> io::Result<()> {
        let is_complete = self.schedule.file_finished();
        self.file.finish_new(self.comparable_version(), is_complete)
    }
}

/// Where the restored checkpoint comes from.
pub(super) enum CheckpointOrigin {
    /// The predecessor has just handed over the checkpoint.
    Handover,
    /// An ended process wrote the checkpoint, so its route states have aged. The random numbers spread the
    /// load of senders that start at the same time.
    Restart(Box<ChaCha8Rng>),
}

impl EventLoop {
    /// Restores endpoints and routes from the configured endpoint list and the checkpoint of an earlier
    /// process.
    pub(super) fn restore_checkpoint(&mut self, checkpoint: Checkpoint, mut origin: CheckpointOrigin) {
        let config = self.configuration.config.clone();
        let configured = EndpointList { agent: Some(config.discovery), ..config.initial_endpoints.clone() };
        let now = self.clock.now();
        self.checkpointing.has_version_reset =
            checkpoint.version.is_none() && !checkpoint.endpoints.is_empty();
        let start_kind = match origin {
            CheckpointOrigin::Handover => StartKind::Handover,
            CheckpointOrigin::Restart(_) => StartKind::Restart,
        };
        let times = ObservationTimes {
            now,
            wall_lead: TimeDelta(self.clock.wall_lead()),
            is_comparable: self.clock.continuity() == ClockContinuity::Continued,
        };
        let restored = restore(checkpoint, &configured, start_kind, times);
        if restored.excluded > 0 {
            self.log(format_args!(
                "checkpoint: endpoints kept out of service, an earlier process received them as draining or removed \
                 count={}",
                restored.excluded
            ));
        }
        self.restore_endpoints(configured.revision, restored.endpoints);
        self.checkpointing.version =
            restored.resume_revision.map(|revision| DiscoveryVersion { agent: config.discovery, revision });
        self.step();
        for restored in restored.routes {
            let Some(id) = self.endpoints.id_of(&restored.endpoint_id) else { continue };
            let captured_at = restored.captured_at;
            let aged = restored
                .routes
                .map(|route| route.map(|route| self.age_route(route, captured_at, now, &mut origin)));
            self.engine.restore_routes(id, aged);
        }
    }

    /// Adds the restored endpoints, with the times at which their phases were first received.
    fn restore_endpoints(&mut self, revision: u64, restored: Vec<ObservedEndpoint>) {
        let (members, observed_at): (Vec<_>, Vec<_>) =
            restored.into_iter().map(|restored| (restored.endpoint, restored.observed_at)).unzip();
        let names: Vec<String> = members.iter().map(|member| member.id.clone()).collect();
        self.apply_endpoint_list(EndpointList { agent: None, revision, complete: true, endpoints: members });
        for (name, observed_at) in names.iter().zip(observed_at) {
            let id = self.endpoints.id_of(name);
            if let Some(tracked) = id.and_then(|id| self.endpoints.get_mut(id)) {
                tracked.phase_since = observed_at;
            }
        }
    }

    /// Returns a route captured at `captured_at` as it is to be restored at `now`.
    fn age_route(
        &self,
        route: RouteSnapshot,
        captured_at: Timestamp,
        now: Timestamp,
        origin: &mut CheckpointOrigin,
    ) -> RouteSnapshot {
        let CheckpointOrigin::Restart(random) = origin else { return route };
        let fraction = f64::from(random.next_u32()) / f64::from(u32::MAX);
        let settings = &self.configuration.settings;
        if self.recovery.status.trusts_clock() && self.clock.continuity() == ClockContinuity::Continued {
            route.aged(captured_at, now, fraction, settings)
        } else {
            route.aged_without_clock(captured_at, now, fraction, settings)
        }
    }

    /// Returns the revision since which changes are requested first, or `None` to request the whole list.
    pub fn resume_revision(&self) -> Option<u64> {
        self.checkpointing.version.map(|version| version.revision)
    }

    /// Writes the version of the endpoint list and the changed endpoints to the checkpoint before the engine
    /// acts on them.
    pub(super) fn record_list_version(&mut self, version: DiscoveryVersion, changed: Vec<EndpointId>) {
        if self.checkpointing.version == Some(version) && changed.is_empty() {
            return;
        }
        if !self.checkpointing.advance_version(version) {
            return self.write_full_checkpoint();
        }
        if self.checkpointing.file.is_open() {
            self.try_checkpoint(|event_loop| event_loop.write_endpoints(changed, WriteReason::ListChanged));
        }
    }

    /// Writes the whole checkpoint to a new file, to which later changes are appended.
    pub(super) fn write_full_checkpoint(&mut self) {
        self.try_checkpoint(|event_loop| {
            let ids = event_loop.begin_checkpoint_file()?;
            event_loop.write_endpoints(ids, WriteReason::Scheduled)?;
            event_loop.checkpointing.finish_file()
        });
    }

    /// Returns when the next part of the checkpoint is due, or `None` while events are queued for the engine.
    pub(super) fn checkpoint_due(&self) -> Option<Timestamp> {
        self.checkpointing.schedule.due().filter(|_| self.queue.is_empty())
    }

    /// Writes the next part of the checkpoint, if one is due.
    pub(super) fn advance_checkpoint(&mut self, at: Instant) {
        let now = self.clock.timestamp(at);
        if self.checkpoint_due().is_none() {
            return;
        }
        let Some(next) = self.checkpointing.schedule.next_step(now) else { return };
        self.try_checkpoint(|event_loop| match next {
            CheckpointStep::StartFile => event_loop.begin_checkpoint_file().map(drop),
            CheckpointStep::Write(ids) => event_loop.write_endpoints(ids, WriteReason::Scheduled),
            CheckpointStep::FinishFile => event_loop.checkpointing.finish_file(),
        });
    }

    /// Returns the whole checkpoint, for a successor on this machine.
    pub(super) fn checkpoint(&self) -> Checkpoint {
        let now = self.clock.now();
        let endpoints = self.endpoints.iter().map(|(id, tracked)| self.endpoint_checkpoint(id, tracked, now));
        let endpoints = endpoints.map(|endpoint| (endpoint.endpoint.id.clone(), endpoint)).collect();
        Checkpoint { version: self.checkpointing.comparable_version(), is_complete: true, endpoints }
    }

    fn endpoint_checkpoint(
        &self,
        id: EndpointId,
        tracked: &TrackedEndpoint,
        now: Timestamp,
    ) -> EndpointCheckpoint {
        let learned = self.engine.route_snapshots(id);
        EndpointCheckpoint {
            endpoint: tracked.listed.clone(),
            observed_at: tracked.phase_since,
            routes: learned,
            captured_at: now,
        }
    }

    /// Starts a new file, and returns the endpoints to write to it, restricted ones first.
    fn begin_checkpoint_file(&mut self) -> io::Result<Vec<EndpointId>> {
        let bytes = self.checkpointing.file.start_new()?;
        let now = self.clock.now();
        let is_restricted = |(id, tracked): &(EndpointId, &TrackedEndpoint)| {
            !tracked.is_serving || self.engine.is_restricted(now, *id)
        };
        let (restricted, others): (Vec<_>, Vec<_>) = self.endpoints.iter().partition(is_restricted);
        let ids: Vec<EndpointId> = restricted.into_iter().chain(others).map(|(id, _)| id).collect();
        self.checkpointing.schedule.file_started(bytes, ids.clone());
        Ok(ids)
    }

    fn write_endpoints(&mut self, ids: Vec<EndpointId>, reason: WriteReason) -> io::Result<()> {
        let now = self.clock.now();
        let write = match reason {
            WriteReason::ListChanged => CheckpointWrite::Update(self.checkpointing.comparable_version()),
            WriteReason::Scheduled => CheckpointWrite::Snapshot,
        };
        let tracked = ids.into_iter().filter_map(|id| Some((id, self.endpoints.get(id)?)));
        let endpoints: Vec<EndpointCheckpoint> =
            tracked.map(|(id, tracked)| self.endpoint_checkpoint(id, tracked, now)).collect();
        let schedule = &mut self.checkpointing.schedule;
        let fits = |bytes| schedule.check_fit(bytes);
        let bytes = self.checkpointing.file.write(endpoints.into_iter(), write, fits)?;
        schedule.bytes_written(bytes);
        Ok(())
    }

    /// Writes to the checkpoint if the journal leaves space for it. On failure, removes the checkpoint and
    /// retries later: the sender works without it.
    fn try_checkpoint(&mut self, write: impl FnOnce(&mut Self) -> io::Result<()>) {
        let written = match self.messages.journal.has_space_for_other_files() {
            true => write(self),
            false => Err(io::ErrorKind::StorageFull.into()),
        };
        let Err(error) = written else { return };
        self.checkpointing.file.remove();
        self.checkpointing.schedule.abandoned(self.clock.now());
        self.log(format_args!("checkpoint: not written, retrying later error={error}"));
    }
}

/// Why endpoints are written to the checkpoint.
#[derive(Clone, Copy)]
enum WriteReason {
    /// The endpoint list has changed: the change goes to the current file and to the one being written.
    ListChanged,
    /// The endpoints are next in the schedule.
    Scheduled,
}
