//! The report of a run, for people and for machines.
use crate::history::History;
use crate::invariants::{Invariant, Verdict, Violation, seconds};
use crate::observation::At;
use crate::plan::{Class, Plan, TENANTS};
use crate::scenario::FaultKind;
use crate::service_metrics::{Recorder, WINDOW};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Breaks that the text shows with their history.
const MOST_SHOWN: usize = 10;

/// What was to be played: the same for every run of one scenario and seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanReport {
    /// The scenario's title.
    pub title: String,
    /// The seed.
    pub seed: u64,
    /// Length of the day, in microseconds.
    pub length_us: u64,
    /// Senders.
    pub senders: usize,
    /// Partners.
    pub partners: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Operations.
    pub operations: u64,
    /// A checksum over all operations: times, keys, destinations, bodies.
    pub digest: String,
    /// The faults, in order.
    pub faults: Vec<String>,
}

/// Whether the rules held.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct VerdictReport {
    /// Whether no rule broke.
    pub kept: bool,
    /// How often each rule broke.
    pub broken: BTreeMap<Invariant, usize>,
}

/// How the day went.
#[derive(Clone, Debug, Serialize)]
pub struct PlayedReport {
    /// Whether times were measured on real clocks and differ from run to run.
    pub measured: bool,
    /// Service of the whole day, by class, by department, and by 10 s.
    pub service: f64,
    /// By class.
    pub by_class: BTreeMap<&'static str, f64>,
    /// By department.
    pub by_department: BTreeMap<&'static str, f64>,
    /// Each moment at which power came back, in microseconds, and how many seconds later messages fared well again.
    pub well_after: Vec<(u64, Option<u64>)>,
    /// By span of 10 s.
    pub by_10_s: Vec<f64>,
    /// Latency percentiles by class, in microseconds: 50, 90, 99, 99.9 and 100.
    pub latency_us: BTreeMap<&'static str, [u64; 5]>,
    /// Counts, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Share of the calls that delivered nothing.
    pub waste: f64,
    /// Faults of the plan that this world cannot play.
    pub not_played: Vec<String>,
    /// Partners that fell over, by whose calls.
    pub fell: Vec<String>,
    /// The first breaks, with their histories.
    pub breaks: Vec<Violation>,
    /// Where senders know each other: when something happened to the fleet, and how long after it all views were right,
    /// in microseconds; none where something else happened before that.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub views_right: Vec<(At, Option<At>)>,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was to be played.
    pub plan: PlanReport,
    /// Whether the rules held.
    pub verdict: VerdictReport,
    /// How it went.
    pub played: PlayedReport,
    /// What the processes said of themselves.
    #[serde(skip)]
    pub history: History,
}

fn rounded(share: f64) -> f64 {
    (share * 1e4).round() / 1e4
}

impl PlanReport {
    /// That of a plan.
    pub fn new(plan: &Plan) -> Self {
        let mut digest = 0xcbf2_9ce4_8422_2325u64;
        let mut operations = 0;
        for arrival in plan.arrivals() {
            operations += 1;
            let (at, body) = (arrival.at.0, arrival.body);
            let text = format!(
                "{at} {} {} {} {:?} {body} {};",
                arrival.class.name(),
                arrival.tenant,
                arrival.destination,
                arrival.vehicle,
                arrival.key
            );
            for byte in text.bytes() {
                digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        Self {
            title: plan.scenario.title.clone(),
            seed: plan.seed,
            length_us: plan.length().0,
            senders: plan.senders.len(),
            partners: plan.partners.len(),
            endpoints: plan.endpoints().count(),
            operations,
            digest: format!("{digest:016x}"),
            faults: plan.faults.iter().map(|fault| fault.line()).collect(),
        }
    }
}

impl Report {
    /// That of a run which is over.
    pub fn new(plan: &Plan, recorder: &Recorder, verdict: Verdict, measured: bool) -> Self {
        let c = recorder.counts;
        let counts = BTreeMap::from([
            ("handed in", c.handed_in),
            ("taken on", verdict.taken as u64),
            ("found untried after a restart", verdict.found_untried as u64),
            ("of these given up untried", verdict.given_up_untried as u64),
            ("refused", c.refused),
            ("unanswered", c.unanswered),
            ("calls", c.calls),
            ("calls turned away", c.full),
            ("calls failed", c.failed),
            ("calls given up", c.given_up),
            ("calls that delivered", c.useful),
            ("noticed as failed", c.noticed_failed),
            ("noticed as returned", c.noticed_returned),
            ("ends of senders", c.ends),
            ("partners that fell over", verdict.fell.len() as u64),
        ]);
        let latency = |(class, all): (&Class, &hdrhistogram::Histogram<u32>)| {
            (class.name(), [0.5, 0.9, 0.99, 0.999, 1.0].map(|q| all.value_at_quantile(q)))
        };
        Self {
            plan: PlanReport::new(plan),
            verdict: VerdictReport { kept: verdict.clean(), broken: verdict.counts },
            played: PlayedReport {
                measured,
                service: rounded(recorder.whole.share()),
                by_class: recorder.classes.iter().map(|(c, s)| (c.name(), rounded(s.share()))).collect(),
                by_department: (TENANTS.iter().zip(&recorder.tenants))
                    .map(|((name, _), s)| (*name, rounded(s.share())))
                    .collect(),
                well_after: (plan.faults.iter())
                    .filter(|fault| fault.kind == FaultKind::PowerLoss)
                    .map(|fault| (fault.until.0, recorder.well_after(fault.until.0)))
                    .collect(),
                by_10_s: recorder.windows.iter().map(|s| rounded(s.share())).collect(),
                latency_us: recorder.latency.iter().map(latency).collect(),
                counts,
                waste: rounded(1.0 - c.useful as f64 / c.calls.max(1) as f64),
                not_played: recorder.not_played.clone(),
                fell: verdict.fell,
                breaks: verdict.breaks,
                views_right: if plan.scenario.has_peers() { recorder.history.settled() } else { Vec::new() },
            },
            history: recorder.history.clone(),
        }
    }

    /// The report for machines.
    pub fn json(&self) -> String {
        // Names, numbers and text always have a JSON form.
        serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |s: String| {
            let _ = writeln!(text, "{s}");
        };
        let (plan, played) = (&self.plan, &self.played);
        line(format!("{} (seed {}, {} s)", plan.title, plan.seed, seconds(plan.length_us)));
        line(format!(
            "plan: {} operations for {} partners with {} endpoints, by {} senders; digest {}",
            plan.operations, plan.partners, plan.endpoints, plan.senders, plan.digest
        ));
        for fault in &plan.faults {
            line(format!("  fault: {fault}"));
        }
        line(if self.verdict.kept {
            "verdict: no rule broke".to_owned()
        } else {
            "verdict: RULES BROKE".to_owned()
        });
        for (rule, count) in &self.verdict.broken {
            line(format!("  {rule:?}: {count}"));
        }
        line(if played.measured { "measured:" } else { "simulated:" }.to_owned());
        line(format!("  service {:.4}, waste {:.4}", played.service, played.waste));
        for (name, share) in played.by_class.iter().chain(&played.by_department) {
            line(format!("  service of {name} {share:.4}"));
        }
        let worst = played.by_10_s.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some((place, share)) = worst {
            line(format!("  worst 10 s: from {} s on, {share:.4}", place as u64 * WINDOW / 1_000_000));
        }
        for (at, took) in &played.well_after {
            let took = took.map_or("not again".to_owned(), |took| format!("{took} s later"));
            line(format!("  power back at {} s: nine tenths of service {took}", at / 1_000_000));
        }
        for (class, l) in &played.latency_us {
            let [p50, p90, p99, p999, most] = l.map(|us| us as f64 / 1e3);
            line(format!(
                "  latency of {class}, ms: 50% {p50:.1}, 90% {p90:.1}, 99% {p99:.1}, 99.9% {p999:.1}, most {most:.1}"
            ));
        }
        for (name, count) in &played.counts {
            line(format!("  {name}: {count}"));
        }
        for fall in &played.fell {
            line(format!("  fell over: {fall}"));
        }
        for fault in &played.not_played {
            line(format!("  not played here: {fault}"));
        }
        let mut took: Vec<At> = played.views_right.iter().filter_map(|(_, took)| *took).collect();
        took.sort_unstable();
        if let (Some(median), Some(most)) = (took.get(took.len() / 2), took.last()) {
            line(format!(
                "  views of each other right after {} of {} happenings: median {} s, most {} s",
                took.len(),
                played.views_right.len(),
                seconds(*median),
                seconds(*most)
            ));
        }
        for broken in played.breaks.iter().take(MOST_SHOWN) {
            let id = broken.id.as_deref().unwrap_or("-");
            line(format!("{:?} at {}, message {id}: {}", broken.rule, seconds(broken.at), broken.what));
            for step in &broken.history {
                line(format!("    {step}"));
            }
        }
        if played.breaks.len() > MOST_SHOWN {
            line(format!("and {} more, in the JSON", played.breaks.len() - MOST_SHOWN));
        }
        text
    }
}
