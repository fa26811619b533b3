//! The active configuration, and the settings, names and classes derived from it.
use crate::daemon::class_registry::{ClassRegistry, ClassRegistryError, NamedClass, RecoveredClass};
use crate::daemon::config::{Config, ConfigReadError};
use crate::daemon::config_schema::ConfigSchema;
use crate::daemon::endpoint_list::ListedEndpoint;
use crate::daemon::journal::{Journal, JournalError, SubmittedMessage};
use crate::daemon::maintenance::replace_json_file;
use crate::daemon::membership::{self, MembershipConfig, MembershipError};
use crate::daemon::outbound_call::ReportFields;
use crate::daemon::poll_schedule::PollConfig;
use crate::daemon::ports::{Log, Storage};
use crate::profile::{Names, Profile, ProfileError};
use crate::{ClassId, Settings, SettingsError};
use micadrum_config::ChangeError;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// The file in the state folder that stores the classes of messages. The configuration of the next process
/// may lack some of them.
const CLASSES_FILE: &str = "classes.json";
/// The temporary name of [`CLASSES_FILE`] while it is being written.
const NEW_CLASSES_FILE: &str = "classes.json.new";

/// Why an event loop cannot be created.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// The platform's settings cannot be translated into the engine's.
    #[error("{0}")]
    Profile(#[from] ProfileError),
    /// The classes contradict each other, or there are too many of them.
    #[error(transparent)]
    Classes(#[from] ClassRegistryError),
    /// The engine rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The journal cannot be made durable.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Why a changed configuration is rejected. The active configuration stays unchanged.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReloadError {
    /// The configuration cannot be read.
    #[error(transparent)]
    Unreadable(#[from] ConfigReadError),
    /// The configuration lacks a key of the initial configuration.
    #[error("configuration key {0:?} is missing")]
    MissingKey(String),
    /// The operator's file changes something that needs a restart.
    #[error(transparent)]
    Operator(#[from] ChangeError),
    /// The operator's list of members is invalid.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The configuration changes the kinds or zones, whose numeric IDs are fixed while a process runs.
    #[error("kinds and zones cannot change while a sender runs: restart it")]
    KindsOrZonesChanged,
    /// The new settings are invalid.
    #[error(transparent)]
    Invalid(#[from] EventLoopError),
    /// The classes cannot be stored.
    #[error("writing {CLASSES_FILE}: {0}")]
    WriteClasses(#[source] io::Error),
}

/// Why the stored classes cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadClassesError {
    #[error(transparent)]
    Read(#[from] io::Error),
    #[error(transparent)]
    Parse(#[from] serde_json::Error),
}

/// The active configuration, with the settings, names and classes derived from it.
pub(super) struct ActiveConfiguration {
    pub(super) config: Rc<Config>,
    /// The keys that a reloaded configuration must contain.
    schema: ConfigSchema,
    pub(super) settings: Settings,
    pub(super) names: Names,
    pub(super) classes: ClassRegistry,
}

/// A validated configuration that is not active yet.
pub(super) struct PreparedReload {
    pub(super) settings: Settings,
    pub(super) members: Option<MembershipConfig>,
    names: Names,
    classes: ClassRegistry,
}

impl ActiveConfiguration {
    /// Creates the initial configuration of a process, including the classes of the messages in `journal`.
    /// `inherited` holds the classes that the predecessor handed over.
    ///
    /// # Errors
    /// Returns an error if the settings or the classes are invalid.
    pub(super) fn new(
        config: Rc<Config>,
        schema: ConfigSchema,
        inherited: Vec<NamedClass>,
        journal: &Journal,
        storage: &dyn Storage,
        log: &dyn Log,
    ) -> Result<Self, EventLoopError> {
        let profile = &config.settings;
        let names = profile.names();
        let stored = stored_classes(storage).unwrap_or_else(|error| {
            log.line(&format!(
                "classes: cannot read {CLASSES_FILE}, messages of removed classes are attempted once error={error}"
            ));
            Vec::new()
        });
        // Drops stored classes that no pending message belongs to.
        let is_used =
            |class: &NamedClass| journal.pending().any(|(_, pending)| pending.message.class == class.0);
        let retired = inherited.into_iter().chain(stored).filter(is_used).collect();
        let configured = profile.classes()?;
        let mut classes = ClassRegistry::new(configured, retired)?;
        for (_, pending) in journal.pending() {
            let recovered = recovered_class(&pending.message);
            if !classes.register_recovered(recovered) {
                let class = &pending.message.class;
                log.line(&format!(
                    "recovery: unknown class, its untried messages are attempted once class={class:?}"
                ));
            }
        }
        let settings = engine_settings(profile, &names, &classes)?;
        Ok(Self { config, schema, settings, names, classes })
    }

    /// Validates a changed configuration, and stores its classes before messages of a new class can be
    /// submitted. Messages belong to `classes_in_use`.
    ///
    /// # Errors
    /// Returns an error if the configuration is invalid, if it changes what is fixed while a process runs, or
    /// if its classes cannot be stored.
    pub(super) fn prepare(
        &self,
        config: &Config,
        classes_in_use: &BTreeSet<ClassId>,
        storage: &dyn Storage,
    ) -> Result<PreparedReload, ReloadError> {
        if let Some(key) = config.missing_key(&self.schema) {
            return Err(ReloadError::MissingKey(key));
        }
        let (profile, names) = (&config.settings, config.settings.names());
        self.config.operator.check_reload(&config.operator)?;
        let members = membership::MembershipConfig::from_config(&config.operator)?;
        if names.kinds != self.names.kinds || names.zones != self.names.zones {
            return Err(ReloadError::KindsOrZonesChanged);
        }
        let configured = profile.classes().map_err(EventLoopError::Profile)?;
        let mut classes = self.classes.clone();
        classes.release_unused(classes_in_use);
        classes.replace_configured(configured).map_err(EventLoopError::Classes)?;
        let settings = engine_settings(profile, &names, &classes)?;
        settings.check().map_err(EventLoopError::Settings)?;
        if classes.named() != self.classes.named() {
            write_classes(storage, &classes).map_err(ReloadError::WriteClasses)?;
        }
        Ok(PreparedReload { settings, members, names, classes })
    }

    /// Activates a prepared configuration. Returns whether the engine's settings have changed.
    pub(super) fn apply(&mut self, prepared: PreparedReload) -> bool {
        (self.classes, self.names) = (prepared.classes, prepared.names);
        let has_changed = prepared.settings != self.settings;
        self.settings = prepared.settings;
        has_changed
    }

    /// Stores the classes, unless the file already contains them.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written; its previous content is kept.
    pub(super) fn store_classes(&self, storage: &dyn Storage) -> io::Result<()> {
        if stored_classes(storage).is_ok_and(|stored| stored == self.classes.named()) {
            return Ok(());
        }
        write_classes(storage, &self.classes)
    }

    /// Returns how many messages a call to an endpoint may carry; `None` if its kind or zone is unknown.
    pub(super) fn max_batch_size(&self, listed: &ListedEndpoint) -> Option<usize> {
        let kind = self.names.kinds.get(&listed.kind)?;
        self.names.zones.get(&listed.zone)?;
        Some(self.settings.kinds[kind.0].max_batch_size.max(1))
    }

    /// Returns the shortest time between two steps of the engine.
    pub(super) fn min_step_interval(&self) -> Duration {
        Duration::from_micros(self.settings.min_step_interval.0)
    }

    /// Returns how long an attempt to connect may take.
    pub(super) fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.settings.connect_timeout.0)
    }
}

/// Returns the class name of a recovered message, and whether the message has an idempotency key.
pub(super) fn recovered_class(message: &SubmittedMessage) -> RecoveredClass {
    RecoveredClass { name: message.class.clone(), has_idempotency_key: message.idempotency_key.is_some() }
}

/// Translates a profile into the engine's settings, with all classes, including retired ones.
fn engine_settings(
    profile: &Profile,
    names: &Names,
    classes: &ClassRegistry,
) -> Result<Settings, EventLoopError> {
    let settings = profile.settings(names)?;
    Ok(Settings {
        completion_requires_acknowledgement: true,
        batch_expires_together: true,
        classes: classes.all(),
        ..settings
    })
}

/// Returns the settings for polling the endpoint list.
pub(super) fn poll_config(settings: &Settings) -> PollConfig {
    let Settings { fleet_size, discovery, rules, .. } = settings;
    PollConfig {
        fleet_size: *fleet_size,
        discovery: *discovery,
        drain_grace: Duration::from_micros(rules.drain_grace.0),
        staleness_limit: Duration::from_micros(rules.discovery_staleness_limit.0),
    }
}

/// Returns how long an idle connection stays open at its endpoint.
pub(super) fn idle_timeout(profile: &Profile) -> Duration {
    Duration::from_micros(profile.connection_idle_timeout().0)
}

/// Returns which fields load reports carry.
pub(super) fn report_fields(profile: &Profile) -> ReportFields {
    let has = |name| profile.report_field(name).is_some();
    ReportFields { remaining_share: has("x0"), limit: has("x1") }
}

fn stored_classes(storage: &dyn Storage) -> Result<Vec<NamedClass>, ReadClassesError> {
    match storage.read(CLASSES_FILE)? {
        Some(bytes) => Ok(serde_json::from_slice(&bytes)?),
        None => Ok(Vec::new()),
    }
}

fn write_classes(storage: &dyn Storage, classes: &ClassRegistry) -> io::Result<()> {
    replace_json_file(storage, CLASSES_FILE, NEW_CLASSES_FILE, &classes.named())
}
