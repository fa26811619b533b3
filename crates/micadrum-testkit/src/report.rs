//! The report of a run, as text and as JSON.
use crate::history::History;
use crate::invariants::{Invariant, Verdict, Violation, seconds};
use crate::observation::Micros;
use crate::plan::{Arrival, Class, Plan, TENANTS};
use crate::scenario::FaultKind;
use crate::service_metrics::{Counts, Recorder, Service, WINDOW_MICROS};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of violations that the text shows with their history.
const MAX_SHOWN_VIOLATIONS: usize = 10;
/// The latency quantiles that are reported.
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The plan of a run: equal for all runs of one scenario and seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanReport {
    /// The scenario's title.
    pub title: String,
    /// The seed that the plan is drawn from.
    pub seed: u64,
    /// Length of the run, in microseconds.
    pub length_us: u64,
    /// Number of senders.
    pub senders: usize,
    /// Number of destinations.
    #[serde(rename = "partners")]
    pub destinations: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of client operations.
    pub operations: u64,
    /// Checksum of all operations: times, keys, destinations, body lengths.
    pub digest: String,
    /// Descriptions of the faults, in the order of the plan.
    pub faults: Vec<String>,
}

/// Whether the invariants hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictReport {
    /// Whether all invariants hold.
    #[serde(rename = "kept")]
    pub all_hold: bool,
    /// Number of violations of each invariant that does not hold.
    #[serde(rename = "broken")]
    pub violation_counts: BTreeMap<Invariant, usize>,
}

/// The measurements of a run. A service is the share of the messages' worth that was delivered.
#[derive(Clone, Debug, Serialize)]
pub struct ResultsReport {
    /// Whether times were measured on real clocks, so that they differ from run to run.
    pub measured: bool,
    /// Service of the whole run.
    pub service: f64,
    /// Service by message class.
    #[serde(rename = "by_class")]
    pub service_by_class: BTreeMap<&'static str, f64>,
    /// Service by tenant.
    #[serde(rename = "by_department")]
    pub service_by_tenant: BTreeMap<&'static str, f64>,
    /// The times at which power returned, in microseconds, each with the number of seconds until service
    /// recovered; `None` if it did not.
    #[serde(rename = "well_after")]
    pub recovery_after_power_loss: Vec<(Micros, Option<u64>)>,
    /// Service by window of 10 s.
    #[serde(rename = "by_10_s")]
    pub service_by_window: Vec<f64>,
    /// Latency percentiles by message class, in microseconds: 50, 90, 99, 99.9 and 100.
    pub latency_us: BTreeMap<&'static str, [u64; 5]>,
    /// Counts of the run, by the names that the report prints.
    pub counts: BTreeMap<&'static str, u64>,
    /// Share of the calls that delivered nothing.
    pub waste: f64,
    /// How many system calls of senders were made to fail, by kind.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub injected: BTreeMap<&'static str, u64>,
    /// Faults of the plan that this kind of run cannot inject.
    pub not_played: Vec<String>,
    /// Descriptions of the destinations that failed by overload in slow start, with the origin of the calls.
    #[serde(rename = "fell")]
    pub overloads: Vec<String>,
    /// The first violations, with their histories.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// If senders form a membership: the times at which the fleet changed, each with the duration until all
    /// views were correct, in microseconds; `None` if the fleet changed again before that.
    #[serde(rename = "views_right", skip_serializing_if = "Vec::is_empty")]
    pub convergence: Vec<(Micros, Option<Micros>)>,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plan of the run.
    pub plan: PlanReport,
    /// Whether the invariants hold.
    pub verdict: VerdictReport,
    /// The measurements of the run.
    #[serde(rename = "played")]
    pub results: ResultsReport,
    /// The senders' membership and recovery events.
    #[serde(skip)]
    pub history: History,
}

impl PlanReport {
    /// Creates the report of a plan.
    pub fn new(plan: &Plan) -> Self {
        let mut digest = FNV_OFFSET_BASIS;
        let mut operations = 0;
        for arrival in plan.arrivals() {
            operations += 1;
            for byte in digest_text(&arrival).bytes() {
                digest = (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
            }
        }
        Self {
            title: plan.scenario.title.clone(),
            seed: plan.seed,
            length_us: plan.length().0,
            senders: plan.senders.len(),
            destinations: plan.destinations.len(),
            endpoints: plan.endpoints().count(),
            operations,
            digest: format!("{digest:016x}"),
            faults: plan.faults.iter().map(|fault| fault.describe()).collect(),
        }
    }

    fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!("{} (seed {}, {} s)", self.title, self.seed, seconds(self.length_us)),
            format!(
                "plan: {} operations for {} partners with {} endpoints, by {} senders; digest {}",
                self.operations, self.destinations, self.endpoints, self.senders, self.digest
            ),
        ];
        lines.extend(self.faults.iter().map(|fault| format!("  fault: {fault}")));
        lines
    }
}

/// Returns the fields of an operation that the digest covers, as text.
fn digest_text(arrival: &Arrival) -> String {
    let Arrival { at, class, tenant, destination, vehicle, body, key, .. } = arrival;
    format!("{} {} {tenant} {destination} {vehicle:?} {body} {key};", at.0, class.name())
}

impl VerdictReport {
    fn lines(&self) -> Vec<String> {
        let verdict = if self.all_hold { "verdict: no rule broke" } else { "verdict: RULES BROKE" };
        let counts =
            self.violation_counts.iter().map(|(invariant, count)| format!("  {invariant:?}: {count}"));
        std::iter::once(verdict.to_owned()).chain(counts).collect()
    }
}

impl ResultsReport {
    fn new(plan: &Plan, recorder: &Recorder, verdict: &Verdict, measured: bool) -> Self {
        let counts = recorder.counts;
        Self {
            measured,
            service: rounded(recorder.total.share()),
            service_by_class: service_by_name(
                recorder.classes.iter().map(|(class, service)| (class.name(), service)),
            ),
            service_by_tenant: service_by_name(TENANTS.iter().map(|(name, _)| *name).zip(&recorder.tenants)),
            recovery_after_power_loss: recovery_after_power_loss(plan, recorder),
            service_by_window: recorder.windows.iter().map(|window| rounded(window.share())).collect(),
            latency_us: recorder.latency.iter().map(latency_quantiles).collect(),
            counts: named_counts(&counts, verdict),
            waste: rounded(1.0 - counts.calls_delivered as f64 / counts.calls.max(1) as f64),
            injected: BTreeMap::new(),
            not_played: recorder.not_played.clone(),
            overloads: verdict.overloads.clone(),
            violations: verdict.violations.clone(),
            convergence: if plan.scenario.has_peers() {
                recorder.history.convergence_times()
            } else {
                Vec::new()
            },
        }
    }

    fn lines(&self) -> Vec<String> {
        let mut lines = self.service_lines();
        lines.extend(self.latency_us.iter().map(|(class, quantiles)| latency_line(class, *quantiles)));
        lines.extend(self.counts.iter().map(|(name, count)| format!("  {name}: {count}")));
        lines.extend(self.overloads.iter().map(|overload| format!("  overloaded: {overload}")));
        lines.extend(self.injected.iter().map(|(kind, count)| format!("  injected {kind}: {count}")));
        lines.extend(self.not_played.iter().map(|fault| format!("  not injected: {fault}")));
        lines.extend(self.convergence_line());
        lines.extend(self.violations.iter().take(MAX_SHOWN_VIOLATIONS).flat_map(violation_lines));
        if self.violations.len() > MAX_SHOWN_VIOLATIONS {
            lines.push(format!(
                "and {} more in the JSON report",
                self.violations.len() - MAX_SHOWN_VIOLATIONS
            ));
        }
        lines
    }

    fn service_lines(&self) -> Vec<String> {
        let mut lines = vec![
            if self.measured { "measured:" } else { "simulated:" }.to_owned(),
            format!("  service {:.4}, waste {:.4}", self.service, self.waste),
        ];
        let services = self.service_by_class.iter().chain(&self.service_by_tenant);
        lines.extend(services.map(|(name, share)| format!("  service of {name} {share:.4}")));
        let windows = self.service_by_window.iter().enumerate();
        if let Some((index, share)) = windows.min_by(|a, b| a.1.total_cmp(b.1)) {
            let from = index as u64 * WINDOW_MICROS / 1_000_000;
            lines.push(format!("  worst 10 s: from {from} s on, {share:.4}"));
        }
        for (at, delay) in &self.recovery_after_power_loss {
            let delay = delay.map_or("not restored".to_owned(), |delay| format!("restored after {delay} s"));
            lines.push(format!("  power back at {} s: 90% of service {delay}", at / 1_000_000));
        }
        lines
    }

    fn convergence_line(&self) -> Option<String> {
        let mut delays: Vec<Micros> = self.convergence.iter().filter_map(|(_, delay)| *delay).collect();
        delays.sort_unstable();
        let (median, longest) = (delays.get(delays.len() / 2)?, delays.last()?);
        Some(format!(
            "  membership views correct after {} of {} changes of the fleet: median {} s, maximum {} s",
            delays.len(),
            self.convergence.len(),
            seconds(*median),
            seconds(*longest)
        ))
    }
}

impl Report {
    /// Creates the report of a finished run.
    pub fn new(plan: &Plan, recorder: &Recorder, verdict: Verdict, measured: bool) -> Self {
        Self {
            plan: PlanReport::new(plan),
            results: ResultsReport::new(plan, recorder, &verdict, measured),
            verdict: VerdictReport { all_hold: verdict.all_hold(), violation_counts: verdict.counts },
            history: recorder.history.clone(),
        }
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> String {
        // Serialization does not fail: all values are strings, numbers and maps with string keys.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// Returns the report as text.
    pub fn text(&self) -> String {
        let lines = [self.plan.lines(), self.verdict.lines(), self.results.lines()].concat();
        lines.join("\n") + "\n"
    }
}

fn rounded(share: f64) -> f64 {
    (share * 1e4).round() / 1e4
}

fn service_by_name<'a>(
    services: impl Iterator<Item = (&'static str, &'a Service)>,
) -> BTreeMap<&'static str, f64> {
    services.map(|(name, service)| (name, rounded(service.share()))).collect()
}

fn recovery_after_power_loss(plan: &Plan, recorder: &Recorder) -> Vec<(Micros, Option<u64>)> {
    let power_losses = plan.faults.iter().filter(|fault| fault.kind == FaultKind::PowerLoss);
    power_losses.map(|fault| (fault.until.0, recorder.recovery_seconds(fault.until.0))).collect()
}

fn latency_quantiles((class, latency): (&Class, &Histogram<u32>)) -> (&'static str, [u64; 5]) {
    (class.name(), QUANTILES.map(|quantile| latency.value_at_quantile(quantile)))
}

fn latency_line(class: &str, quantiles: [u64; 5]) -> String {
    let [p50, p90, p99, p999, max] = quantiles.map(|micros| micros as f64 / 1e3);
    format!(
        "  latency of {class}, ms: 50% {p50:.1}, 90% {p90:.1}, 99% {p99:.1}, 99.9% {p999:.1}, max {max:.1}"
    )
}

fn named_counts(counts: &Counts, verdict: &Verdict) -> BTreeMap<&'static str, u64> {
    BTreeMap::from([
        ("handed in", counts.submitted),
        ("taken on", verdict.accepted as u64),
        ("found untried after a restart", verdict.left_untried as u64),
        ("of these given up untried", verdict.ended_untried as u64),
        ("refused", counts.rejected),
        ("unanswered", counts.unanswered),
        ("calls", counts.calls),
        ("calls turned away", counts.calls_rejected),
        ("calls failed", counts.calls_failed),
        ("calls given up", counts.calls_abandoned),
        ("calls that delivered", counts.calls_delivered),
        ("noticed as failed", counts.notified_failed),
        ("noticed as returned", counts.notified_returned),
        ("ends of senders", counts.exits),
        ("partners that fell over", verdict.overloads.len() as u64),
    ])
}

fn violation_lines(violation: &Violation) -> Vec<String> {
    let message = violation.id.as_deref().unwrap_or("-");
    let (invariant, at) = (violation.invariant, seconds(violation.at));
    let mut lines = vec![format!("{invariant:?} at {at}, message {message}: {}", violation.description)];
    lines.extend(violation.history.iter().map(|step| format!("    {step}")));
    lines
}
