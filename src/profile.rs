//! The settings as JSON, as a sender's configuration and the first message of the simulator hold them.
//!
//! Field names here are those of the JSON, which the platform's protocol defines; [`Profile::settings`] maps them to the
//! names of the core.
use crate::interface::*;
use serde::Deserialize;
use std::collections::HashMap;

/// A part of the settings that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// A name that the settings do not define.
    #[error("unknown {what} {name:?}")]
    UnknownName {
        /// What the name stands for, such as a zone.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A class whose deduplication scope is none.
    #[error("class {class:?}: unknown group {group:?}")]
    UnknownScope {
        /// The class.
        class: String,
        /// The scope that was given, if any.
        group: Option<String>,
    },
    /// A class that deduplicates by key, with no window.
    #[error("a keyed class lacks key_ttl")]
    MissingWindow,
    /// A decay that does not exist.
    #[error("specifics.decay: {0:?} is neither even nor by_half")]
    UnknownDecay(String),
}

/// What a sender is told at its start. Keys that nothing here needs are passed over.
#[derive(Deserialize)]
pub struct Profile {
    #[serde(rename = "azs")]
    zones: Vec<String>,
    zone: String,
    discovery: DiscoveryName,
    fleet_size: usize,
    kinds: Vec<String>,
    #[serde(rename = "lanes")]
    classes: Vec<ClassRow>,
    limits: LimitsTable,
    #[serde(rename = "invariants")]
    rules: RulesTable,
    specifics: SpecificsTable,
    #[serde(default)]
    tenants: Vec<TenantRow>,
    #[serde(rename = "over_share_worth")]
    over_quota_weight: Option<f64>,
    #[serde(rename = "period")]
    step_interval: u64,
    report: ReportTable,
    weights: String,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum DiscoveryName {
    #[serde(rename = "pushed")]
    Watch,
    #[serde(rename = "on_request")]
    Poll,
}

#[derive(Deserialize)]
struct ClassRow {
    name: String,
    #[serde(rename = "aim")]
    latency_objective: u64,
    hard_limit: u64,
    #[serde(rename = "worth")]
    weight: f64,
    late_value: f64,
    #[serde(rename = "repeat")]
    idempotency: IdempotencyName,
    group: Option<String>,
    key_ttl: Option<u64>,
    fifo_by_key: Option<bool>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum IdempotencyName {
    Retryable,
    Dedup,
    Fragile,
}

#[derive(Deserialize)]
struct LimitsTable {
    cancel: bool,
    connect_timeout: u64,
    conn_idle: Option<u64>,
    max_attempts: u32,
    #[serde(rename = "most_held")]
    max_pending: usize,
    probes: bool,
}

#[derive(Deserialize)]
struct RulesTable {
    drain_grace: u64,
    #[serde(rename = "cold_share")]
    slow_start_share: f64,
    #[serde(rename = "ramp_time")]
    slow_start_duration: u64,
    overload_factor: f64,
    #[serde(rename = "fall")]
    overload_window: u64,
    order_settle: Option<u64>,
    must_ask_in: Option<u64>,
}

#[derive(Deserialize)]
struct SpecificsTable {
    bundle_max: Option<Vec<usize>>,
    kind_apart: Option<Vec<bool>>,
    decay: Option<String>,
    max_calls: usize,
}

#[derive(Deserialize)]
struct TenantRow {
    name: String,
    #[serde(rename = "allowance_per_s")]
    quota_per_second: f64,
}

#[derive(Deserialize)]
struct ReportTable {
    #[serde(default)]
    names: Vec<String>,
}

/// The numbers of the core for the names that the settings use.
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

fn numbered<T>(names: impl Iterator<Item = String>, id: fn(usize) -> T) -> HashMap<String, T> {
    names.enumerate().map(|(index, name)| (name, id(index))).collect()
}

/// Returns the number of the core for a name.
///
/// # Errors
/// `table` lacks the name; the error says `what` it would have been.
pub fn look_up<T: Copy>(
    table: &HashMap<String, T>,
    name: &str,
    what: &'static str,
) -> Result<T, ProfileError> {
    table.get(name).copied().ok_or_else(|| ProfileError::UnknownName { what, name: name.to_owned() })
}

impl ClassRow {
    fn class(&self) -> Result<Class, ProfileError> {
        Ok(Class {
            latency_objective: TimeDelta(self.latency_objective),
            deadline: TimeDelta(self.hard_limit),
            priority_weight: self.weight,
            late_weight: self.late_value,
            idempotency: self.idempotency()?,
            ordered: self.fifo_by_key.unwrap_or(false),
        })
    }

    fn idempotency(&self) -> Result<Idempotency, ProfileError> {
        Ok(match self.idempotency {
            IdempotencyName::Retryable => Idempotency::Idempotent,
            IdempotencyName::Fragile => Idempotency::NonIdempotent,
            IdempotencyName::Dedup => Idempotency::WithKey {
                scope: self.scope()?,
                window: TimeDelta(self.key_ttl.ok_or(ProfileError::MissingWindow)?),
            },
        })
    }

    fn scope(&self) -> Result<DeduplicationScope, ProfileError> {
        match self.group.as_deref() {
            Some("all") => Ok(DeduplicationScope::Destination),
            // A cell is one destination here, so its zone's part is always inside it.
            Some("zone" | "cell") => Ok(DeduplicationScope::Zone),
            other => {
                Err(ProfileError::UnknownScope { class: self.name.clone(), group: other.map(str::to_owned) })
            }
        }
    }
}

impl RulesTable {
    fn rules(&self) -> Rules {
        Rules {
            drain_grace: TimeDelta(self.drain_grace),
            slow_start_share: self.slow_start_share,
            slow_start_duration: TimeDelta(self.slow_start_duration),
            overload_factor: self.overload_factor,
            overload_window: TimeDelta(self.overload_window),
            ordering_hold: TimeDelta(self.order_settle.unwrap_or(0)),
            discovery_staleness_limit: TimeDelta(self.must_ask_in.unwrap_or(0)),
        }
    }
}

impl SpecificsTable {
    fn kind(&self, index: usize) -> DestinationKind {
        let apart = self.kind_apart.as_ref().and_then(|kinds| kinds.get(index));
        let batch = self.bundle_max.as_ref().and_then(|kinds| kinds.get(index));
        DestinationKind {
            limits_per_endpoint: apart.copied().unwrap_or(false),
            max_batch_size: batch.copied().unwrap_or(1),
        }
    }

    fn weight_decay(&self) -> Result<WeightDecay, ProfileError> {
        match self.decay.as_deref() {
            None | Some("even") => Ok(WeightDecay::Linear),
            Some("by_half") => Ok(WeightDecay::Exponential),
            Some(other) => Err(ProfileError::UnknownDecay(other.to_owned())),
        }
    }
}

impl Profile {
    /// Numbers all names.
    pub fn names(&self) -> Names {
        Names {
            classes: numbered(self.classes.iter().map(|class| class.name.clone()), ClassId),
            tenants: numbered(self.tenants.iter().map(|tenant| tenant.name.clone()), TenantId),
            kinds: numbered(self.kinds.iter().cloned(), KindId),
            zones: numbered(self.zones.iter().cloned(), ZoneId),
        }
    }

    /// Returns the classes by name, in the order of the settings.
    ///
    /// # Errors
    /// A class that cannot be understood.
    pub fn classes(&self) -> Result<Vec<(String, Class)>, ProfileError> {
        self.classes.iter().map(|row| Ok((row.name.clone(), row.class()?))).collect()
    }

    /// Returns the position of the named field in a load report.
    pub fn report_field(&self, name: &str) -> Option<usize> {
        self.report.names.iter().position(|field| field == name)
    }

    /// Returns how many calls may be in flight at once.
    pub fn max_concurrent_calls(&self) -> usize {
        self.specifics.max_calls
    }

    /// Returns for how long an endpoint keeps an idle connection open; zero where the settings say nothing, as a call on
    /// a connection that the endpoint has closed may be lost.
    pub fn connection_idle_timeout(&self) -> TimeDelta {
        TimeDelta(self.limits.conn_idle.unwrap_or(0))
    }

    /// Returns the settings of the core.
    ///
    /// # Errors
    /// A part that cannot be understood.
    pub fn settings(&self, names: &Names) -> Result<Settings, ProfileError> {
        let no_hints = self.weights == "none";
        Ok(Settings {
            classes: self.classes.iter().map(ClassRow::class).collect::<Result<_, _>>()?,
            kinds: (0..self.kinds.len()).map(|index| self.specifics.kind(index)).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| Tenant { quota_per_second: tenant.quota_per_second })
                .collect(),
            over_quota_weight: self.over_quota_weight.unwrap_or(1.0),
            zone: look_up(&names.zones, &self.zone, "zone")?,
            fleet_size: self.fleet_size,
            max_concurrent_calls: self.specifics.max_calls,
            max_pending_messages: self.limits.max_pending,
            max_attempts: self.limits.max_attempts,
            min_step_interval: TimeDelta(self.step_interval),
            connect_timeout: TimeDelta(self.limits.connect_timeout),
            weight_decay: self.specifics.weight_decay()?,
            discovery: match self.discovery {
                DiscoveryName::Watch => DiscoveryMode::Watch,
                DiscoveryName::Poll => DiscoveryMode::Poll,
            },
            capacity_hints: if no_hints { CapacityHints::None } else { CapacityHints::CallsPerSecond },
            health_checks: self.limits.probes,
            cancellation: self.limits.cancel,
            completion_requires_acknowledgement: false,
            batch_expires_together: false,
            rules: self.rules.rules(),
        })
    }
}
