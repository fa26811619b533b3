//! micadrum delivers outbound messages to the systems of other companies, with operation-aware retries.
//!
//! The crate has two layers. The decision core decides when and where each message is sent, whether it is
//! retried, and when it ends undelivered. It performs no I/O and reads no clock: a host passes [`Event`]s to
//! [`DeliveryEngine::step`] and executes the returned [`Action`]s. The [`daemon`] is the host that uses real
//! sockets: it accepts messages over HTTP, writes them to a journal, watches discovery and calls endpoints.
//!
//! ```
//! use micadrum::*;
//! let second = 1_000_000;
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: TimeDelta(2 * second), deadline: TimeDelta(16 * second), priority_weight: 1.0,
//!         late_weight: 0.5, idempotency: Idempotency::Idempotent, ordered: false,
//!     }],
//!     kinds: vec![DestinationKind { limits_per_endpoint: false, max_batch_size: 1 }],
//!     tenants: vec![], over_quota_weight: 1.0, zone: ZoneId(0), fleet_size: 1, max_concurrent_calls: 4,
//!     max_pending_messages: 50, max_attempts: 6, min_step_interval: TimeDelta(5_000),
//!     connect_timeout: TimeDelta(second), weight_decay: WeightDecay::Linear,
//!     discovery: DiscoveryMode::Watch, capacity_hints: CapacityHints::None, health_checks: false,
//!     cancellation: true, completion_requires_acknowledgement: false, batch_expires_together: false,
//!     rules: Rules {
//!         drain_grace: TimeDelta(second), slow_start_share: 0.2,
//!         slow_start_duration: TimeDelta(10 * second), overload_factor: 2.0,
//!         overload_window: TimeDelta(second), ordering_hold: TimeDelta(0),
//!         discovery_staleness_limit: TimeDelta(10 * second),
//!     },
//! };
//! let mut engine = DeliveryEngine::new(settings, 7)?;
//! let entry = EndpointEntry {
//!     endpoint: EndpointId(0), destination: DestinationId(9), kind: KindId(0), zone: ZoneId(0),
//!     state: EndpointState::Active, capacity_hint: 1.0,
//! };
//! let message = Message {
//!     id: MessageId(1), class: ClassId(0), tenant: None, key: None, destination: DestinationId(9),
//!     time_to_live: TimeDelta(16 * second),
//! };
//! let mut actions = Vec::new();
//! let events = [Event::EndpointSnapshot(vec![entry]), Event::Message(message)];
//! engine.step(Timestamp(0), &events, &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { message: MessageId(1), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

pub mod daemon;
mod decision;
mod index;
mod interface;
mod observe;
mod pacing;
pub mod profile;
mod restore;

pub use decision::DeliveryEngine;
pub use interface::*;
pub use observe::RouteSnapshot;
