//! Resolves the faults of a scenario into planned faults: draws their targets and applies the defaults.
use super::model::{Destination, EndpointPlan, PlannedFault, SystemFault};
use super::{Plan, SeededRng};
use crate::scenario::{Fault, FaultKind, FolderContent, StopMethod, WritePoint};
use crate::units::{Percent, Span};

const DEFAULT_INTERVAL: Span = Span::seconds(4);
const DEFAULT_PAUSE: Span = Span::millis(300);
const DEFAULT_DOWNTIME: Span = Span::millis(600);

/// The endpoints and senders that a fault affects, by number.
struct Targets {
    endpoints: Vec<u32>,
    senders: Vec<u32>,
}

impl Plan {
    /// Resolves a fault. Its targets are drawn from a random sequence of its own, which `number` identifies.
    pub(super) fn resolve(&self, fault: &Fault, number: usize) -> PlannedFault {
        let Targets { endpoints, senders } = self.draw_targets(fault, number);
        let from = *fault.at.get_ref();
        let lost_share = fault.lost_share.map_or(0.0, Percent::share);
        let lost_senders = (senders.len() as f64 * lost_share).round() as usize;
        PlannedFault {
            lost_senders: senders[..lost_senders].to_vec(),
            max_clock_error: fault.max_clock_error.unwrap_or_default(),
            kind: fault.kind,
            from,
            until: Span(from.0 + fault.duration.map_or(0, |duration| duration.0)),
            endpoints,
            senders,
            call_share: fault.call_share.map_or(1.0, Percent::share),
            stop_method: fault.stop_method.unwrap_or(StopMethod::Kill),
            batch: fault.batch.map_or(usize::MAX, |batch| batch as usize),
            interval: fault.interval.unwrap_or(DEFAULT_INTERVAL),
            pause: fault.pause.unwrap_or(DEFAULT_PAUSE),
            delay: fault.delay.unwrap_or_default(),
            nth: fault.nth.unwrap_or(1),
            write_point: fault.write_point.unwrap_or(WritePoint::After),
            downtime: fault.downtime.unwrap_or(DEFAULT_DOWNTIME),
            direction: fault.direction.unwrap_or_default(),
            cut_peers: fault.cut_peers.clone(),
            cuts_destinations: fault.cuts_destinations.unwrap_or(false),
            jitter: fault.jitter.unwrap_or_default(),
            return_period: fault.return_period.unwrap_or_default(),
            folder: fault.folder.unwrap_or(default_folder(fault.kind)),
            repeat_trigger: fault.repeat_trigger.unwrap_or_default(),
            system: system_fault(fault),
        }
    }

    fn draw_targets(&self, fault: &Fault, number: usize) -> Targets {
        let mut rng = SeededRng::new(self.seed, &format!("fault {number}"));
        let zone = self.zone(fault);
        if fault.kind.affects_destinations() {
            return Targets { endpoints: self.draw_endpoints(fault, zone, &mut rng), senders: Vec::new() };
        }
        let endpoints = if fault.includes_endpoints == Some(true) {
            endpoints_in_zone(self.destinations.iter(), zone).collect()
        } else {
            Vec::new()
        };
        Targets { endpoints, senders: self.draw_senders(fault, zone, &mut rng) }
    }

    /// Returns the zone that the fault is restricted to.
    fn zone(&self, fault: &Fault) -> Option<usize> {
        let name = fault.zone.as_ref()?;
        self.scenario.buildings.get_ref().iter().position(|other| other == name)
    }

    /// Draws destinations, and returns the numbers of their endpoints in the zone.
    fn draw_endpoints(&self, fault: &Fault, zone: Option<usize>, rng: &mut SeededRng) -> Vec<u32> {
        let mut destinations: Vec<&Destination> = (self.destinations.iter())
            .filter(|destination| is_listed(fault.destinations.as_ref(), destination.number))
            .collect();
        draw_share(&mut destinations, fault.share, rng);
        let mut endpoints: Vec<u32> = endpoints_in_zone(destinations.into_iter(), zone).collect();
        endpoints.sort_unstable();
        endpoints
    }

    fn draw_senders(&self, fault: &Fault, zone: Option<usize>, rng: &mut SeededRng) -> Vec<u32> {
        let mut senders: Vec<u32> = (self.senders.iter())
            .filter(|sender| zone.is_none_or(|zone| sender.building == zone))
            .map(|sender| sender.number)
            .filter(|number| is_listed(fault.senders.as_ref(), *number))
            .collect();
        draw_share(&mut senders, fault.share, rng);
        senders
    }
}

fn system_fault(fault: &Fault) -> SystemFault {
    let step_us = fault.step.map_or(0, |step| step.0 as i64);
    SystemFault {
        call: fault.call.unwrap_or_default(),
        error: fault.error,
        is_torn: fault.torn.unwrap_or(false),
        step_us: if fault.backward == Some(true) { -step_us } else { step_us },
    }
}

fn is_listed(list: Option<&Vec<u32>>, number: u32) -> bool {
    list.is_none_or(|list| list.contains(&number))
}

fn endpoints_in_zone<'a>(
    destinations: impl Iterator<Item = &'a Destination>,
    zone: Option<usize>,
) -> impl Iterator<Item = u32> {
    let in_zone = move |endpoint: &&EndpointPlan| zone.is_none_or(|zone| endpoint.building == zone);
    destinations
        .flat_map(|destination| &destination.endpoints)
        .filter(in_zone)
        .map(|endpoint| endpoint.number)
}

/// Keeps a random share of the items, rounded up and at least one. Without a share, leaves the items
/// unchanged.
fn draw_share<T>(items: &mut Vec<T>, share: Option<Percent>, rng: &mut SeededRng) {
    let Some(share) = share else { return };
    rng.shuffle(items);
    items.truncate(((items.len() as f64 * share.share()).ceil() as usize).max(1));
}

fn default_folder(kind: FaultKind) -> FolderContent {
    match kind {
        FaultKind::PowerLoss => FolderContent::Synced,
        _ => FolderContent::Kept,
    }
}
