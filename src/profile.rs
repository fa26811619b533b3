//! The settings' JSON, as the simulator's first message and a sender's configuration hold it.
use crate::interface::*;
use serde::Deserialize;
use std::collections::HashMap;

/// What a sender is told at its start. Keys that nothing here needs are passed over.
#[derive(Deserialize)]
pub struct Profile {
    azs: Vec<String>,
    zone: String,
    discovery: Mode,
    fleet_size: usize,
    kinds: Vec<String>,
    lanes: Vec<Lane>,
    limits: Limits,
    invariants: Invariants,
    specifics: Specifics,
    #[serde(default)]
    tenants: Vec<TenantRow>,
    over_share_worth: Option<f64>,
    period: u64,
    report: ReportRow,
    weights: String,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
struct Lane {
    name: String,
    aim: u64,
    hard_limit: u64,
    worth: f64,
    late_value: f64,
    repeat: RepeatWord,
    group: Option<String>,
    key_ttl: Option<u64>,
    fifo_by_key: Option<bool>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum RepeatWord {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
struct Limits {
    cancel: bool,
    connect_timeout: u64,
    conn_idle: Option<u64>,
    max_attempts: u32,
    most_held: usize,
    probes: bool,
}

#[derive(Deserialize)]
struct Invariants {
    drain_grace: u64,
    cold_share: f64,
    ramp_time: u64,
    overload_factor: f64,
    fall: u64,
    order_settle: Option<u64>,
    must_ask_in: Option<u64>,
}

#[derive(Deserialize)]
struct Specifics {
    bundle_max: Option<Vec<usize>>,
    kind_apart: Option<Vec<bool>>,
    decay: Option<String>,
    max_calls: usize,
}

#[derive(Deserialize)]
struct TenantRow {
    name: String,
    allowance_per_s: f64,
}

#[derive(Deserialize)]
struct ReportRow {
    #[serde(default)]
    names: Vec<String>,
}

/// The module's numbers for the names that the settings use.
#[derive(PartialEq)]
pub struct Names {
    /// Classes of messages.
    pub classes: HashMap<String, ClassId>,
    /// Tenants.
    pub tenants: HashMap<String, TenantId>,
    /// Kinds of destination.
    pub kinds: HashMap<String, KindId>,
    /// Zones.
    pub zones: HashMap<String, ZoneId>,
}

fn index<T>(names: impl Iterator<Item = String>, make: fn(usize) -> T) -> HashMap<String, T> {
    names.enumerate().map(|(i, name)| (name, make(i))).collect()
}

/// The module's number for a name; the error says `what` was not known.
pub fn look<T: Copy>(table: &HashMap<String, T>, name: &str, what: &str) -> Result<T, String> {
    table.get(name).copied().ok_or_else(|| format!("unknown {what} {name:?}"))
}

impl Lane {
    fn class(&self) -> Result<Class, String> {
        let repeat = match self.repeat {
            RepeatWord::Retryable => Idempotency::Idempotent,
            RepeatWord::Fragile => Idempotency::NonIdempotent,
            RepeatWord::Dedup => Idempotency::WithKey {
                scope: match self.group.as_deref() {
                    Some("all") => DeduplicationScope::Destination,
                    // A cell is one destination here, so its zone's part is always inside it.
                    Some("zone" | "cell") => DeduplicationScope::Zone,
                    other => return Err(format!("class {:?}: unknown group {other:?}", self.name)),
                },
                window: TimeDelta(self.key_ttl.ok_or("a keyed class lacks key_ttl")?),
            },
        };
        Ok(Class {
            latency_objective: TimeDelta(self.aim),
            deadline: TimeDelta(self.hard_limit),
            priority_weight: self.worth,
            late_weight: self.late_value,
            idempotency: repeat,
            ordered: self.fifo_by_key.unwrap_or(false),
        })
    }
}

impl Profile {
    /// The numbers of all names.
    pub fn names(&self) -> Names {
        Names {
            classes: index(self.lanes.iter().map(|l| l.name.clone()), ClassId),
            tenants: index(self.tenants.iter().map(|t| t.name.clone()), TenantId),
            kinds: index(self.kinds.iter().cloned(), KindId),
            zones: index(self.azs.iter().cloned(), ZoneId),
        }
    }

    /// The classes by name, as they stand in the settings.
    ///
    /// # Errors
    /// A class that cannot be understood.
    pub fn classes(&self) -> Result<Vec<(String, Class)>, String> {
        self.lanes.iter().map(|lane| Ok((lane.name.clone(), lane.class()?))).collect()
    }

    /// Where the named field stands among those of a load report.
    pub fn report_field(&self, name: &str) -> Option<usize> {
        self.report.names.iter().position(|n| n == name)
    }

    /// How many calls may be out at once.
    pub fn most_calls(&self) -> usize {
        self.specifics.max_calls
    }

    /// How long an endpoint keeps an idle connection open, at the most; no time at all where nothing is said of it, as a
    /// call that meets a closed one may be lost.
    pub fn connection_idle(&self) -> TimeDelta {
        TimeDelta(self.limits.conn_idle.unwrap_or(0))
    }

    /// The settings of the decision module.
    pub fn settings(&self, names: &Names) -> Result<Settings, String> {
        let s = &self.specifics;
        let kinds = (0..self.kinds.len())
            .map(|i| DestinationKind {
                limits_per_endpoint: s.kind_apart.as_ref().and_then(|v| v.get(i)).copied().unwrap_or(false),
                max_batch_size: s.bundle_max.as_ref().and_then(|v| v.get(i)).copied().unwrap_or(1),
            })
            .collect();
        let r = &self.invariants;
        Ok(Settings {
            classes: self.lanes.iter().map(Lane::class).collect::<Result<_, _>>()?,
            kinds,
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_second: t.allowance_per_s }).collect(),
            over_quota_weight: self.over_share_worth.unwrap_or(1.0),
            zone: look(&names.zones, &self.zone, "zone")?,
            fleet_size: self.fleet_size,
            max_concurrent_calls: s.max_calls,
            max_pending_messages: self.limits.most_held,
            max_attempts: self.limits.max_attempts,
            min_step_interval: TimeDelta(self.period),
            connect_timeout: TimeDelta(self.limits.connect_timeout),
            weight_decay: match s.decay.as_deref() {
                None | Some("even") => WeightDecay::Linear,
                Some("by_half") => WeightDecay::Exponential,
                Some(other) => return Err(format!("specifics.decay: {other:?} is neither even nor by_half")),
            },
            discovery: match self.discovery {
                Mode::Pushed => DiscoveryMode::Watch,
                Mode::OnRequest => DiscoveryMode::Poll,
            },
            capacity_hints: if self.weights == "none" {
                CapacityHints::None
            } else {
                CapacityHints::CallsPerSecond
            },
            health_checks: self.limits.probes,
            cancellation: self.limits.cancel,
            completion_requires_acknowledgement: false,
            batch_expires_together: false,
            rules: Rules {
                drain_grace: TimeDelta(r.drain_grace),
                slow_start_share: r.cold_share,
                slow_start_duration: TimeDelta(r.ramp_time),
                overload_factor: r.overload_factor,
                overload_window: TimeDelta(r.fall),
                ordering_hold: TimeDelta(r.order_settle.unwrap_or(0)),
                discovery_staleness_limit: TimeDelta(r.must_ask_in.unwrap_or(0)),
            },
        })
    }
}
