//! The platform's JSON settings, found in a sender's configuration and in the `start` message of the
//! simulator.
//!
//! The platform's protocol defines the names in the JSON; [`Profile::settings`] converts them to the core's
//! [`Settings`].
use crate::interface::*;
use serde::Deserialize;
use std::collections::HashMap;

/// An invalid part of the JSON settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// A name that the settings don't define.
    #[error("unknown {what} {name:?}")]
    UnknownName {
        /// The kind of name, such as a zone.
        what: &'static str,
        /// The name as it is written in the settings.
        name: String,
    },
    /// A class without a valid deduplication scope.
    #[error("class {class:?}: group must be \"all\", \"zone\" or \"cell\", got {group:?}")]
    UnknownScope {
        /// The name of the class with the invalid scope.
        class: String,
        /// The scope that was given, if any.
        group: Option<String>,
    },
    /// A class that deduplicates by key without a deduplication window.
    #[error("a class with \"repeat\": \"dedup\" requires key_ttl")]
    MissingWindow,
    /// An unknown weight decay.
    #[error("specifics.decay: {0:?} is neither even nor by_half")]
    UnknownDecay(String),
}

/// The settings of a sender as the platform writes them. Unknown keys are ignored.
#[derive(Deserialize)]
pub struct Profile {
    #[serde(rename = "azs")]
    zones: Vec<String>,
    zone: String,
    discovery: DiscoveryName,
    fleet_size: usize,
    kinds: Vec<String>,
    #[serde(rename = "lanes")]
    classes: Vec<ClassEntry>,
    limits: LimitsTable,
    #[serde(rename = "invariants")]
    rules: RulesTable,
    specifics: SpecificsTable,
    #[serde(default)]
    tenants: Vec<TenantEntry>,
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
struct ClassEntry {
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
struct TenantEntry {
    name: String,
    #[serde(rename = "allowance_per_s")]
    quota_per_second: f64,
}

#[derive(Deserialize)]
struct ReportTable {
    #[serde(default)]
    names: Vec<String>,
}

/// Maps the names in the settings to the identifiers of the core.
#[derive(PartialEq)]
pub struct Names {
    /// Message classes, by name.
    pub classes: HashMap<String, ClassId>,
    /// Tenants, by name.
    pub tenants: HashMap<String, TenantId>,
    /// Kinds of destination, by name.
    pub kinds: HashMap<String, KindId>,
    /// Zones, by name.
    pub zones: HashMap<String, ZoneId>,
}

fn numbered<T>(names: impl Iterator<Item = String>, id: fn(usize) -> T) -> HashMap<String, T> {
    names.enumerate().map(|(index, name)| (name, id(index))).collect()
}

/// Returns the identifier of a name in `table`.
///
/// # Errors
/// Returns [`ProfileError::UnknownName`] with the kind of name, `what`, if `table` doesn't contain it.
pub fn look_up<T: Copy>(
    table: &HashMap<String, T>,
    name: &str,
    what: &'static str,
) -> Result<T, ProfileError> {
    table.get(name).copied().ok_or_else(|| ProfileError::UnknownName { what, name: name.to_owned() })
}

impl ClassEntry {
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
            // A cell is one destination, so its zones are within it and the zone scope is safe for both.
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
        let has_own_limits = self.kind_apart.as_ref().and_then(|kinds| kinds.get(index));
        let batch = self.bundle_max.as_ref().and_then(|kinds| kinds.get(index));
        DestinationKind {
            limits_per_endpoint: has_own_limits.copied().unwrap_or(false),
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
    /// Assigns identifiers to all names, in the order of the settings.
    pub fn names(&self) -> Names {
        Names {
            classes: numbered(self.classes.iter().map(|class| class.name.clone()), ClassId),
            tenants: numbered(self.tenants.iter().map(|tenant| tenant.name.clone()), TenantId),
            kinds: numbered(self.kinds.iter().cloned(), KindId),
            zones: numbered(self.zones.iter().cloned(), ZoneId),
        }
    }

    /// Returns the classes with their names, in the order of the settings.
    ///
    /// # Errors
    /// Returns an error for the first invalid class.
    pub fn classes(&self) -> Result<Vec<(String, Class)>, ProfileError> {
        self.classes.iter().map(|entry| Ok((entry.name.clone(), entry.class()?))).collect()
    }

    /// Returns the index of the named field in a load report; `None` if reports don't have it.
    pub fn report_field(&self, name: &str) -> Option<usize> {
        self.report.names.iter().position(|field| field == name)
    }

    /// Returns the maximum number of calls in flight.
    pub fn max_concurrent_calls(&self) -> usize {
        self.specifics.max_calls
    }

    /// Returns how long endpoints keep idle connections open. If the settings don't specify it, returns 0, so
    /// that connections aren't reused: a call on a connection that the endpoint has closed may be lost.
    pub fn connection_idle_timeout(&self) -> TimeDelta {
        TimeDelta(self.limits.conn_idle.unwrap_or(0))
    }

    /// Converts to the settings of the core.
    ///
    /// # Errors
    /// Returns an error for the first invalid part.
    pub fn settings(&self, names: &Names) -> Result<Settings, ProfileError> {
        let no_hints = self.weights == "none";
        Ok(Settings {
            classes: self.classes.iter().map(ClassEntry::class).collect::<Result<_, _>>()?,
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
