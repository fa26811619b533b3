//! The interface of the decision core: identifiers, time, settings, events and actions.
//!
//! These types contain no decision logic. All times are whole microseconds on the host's clock.
mod actions;
mod endpoints;
mod events;
mod identifiers;
mod messages;
mod settings;
mod time;

pub use actions::Action;
pub use endpoints::{EndpointEntry, EndpointState, LoadReport};
pub use events::{Event, Outcome};
pub use identifiers::{ClassId, DestinationId, EndpointId, KindId, MessageId, OrderKey, TenantId, ZoneId};
pub use messages::{Message, RecoveredMessage};
pub use settings::{
    CapacityHints, Class, DeduplicationScope, DestinationKind, DiscoveryMode, Idempotency, Rules, Settings,
    SettingsError, Tenant, WeightDecay,
};
pub use time::{TimeDelta, Timestamp};
pub(crate) use time::{after, seconds, since};
