//! Registry of the message classes of a process, across changes of the settings. No I/O and no clock.
//!
//! A class keeps its ID for the life of the process: messages in flight keep their class, even after a reload
//! that removes the class from the settings or redefines its name.
//!
//! A recovered message contains only the name of its class, and may have been accepted under any definition
//! that the name has had: the strictest definition applies. A message whose class is unknown is sent once,
//! because a retry may be unsafe, and in the order of its key.
use crate::{Class, ClassId, DeduplicationScope, Idempotency, TimeDelta};
use std::collections::{BTreeMap, HashMap};

/// The maximum number of class definitions over the life of a process.
const MAX_CLASSES: usize = 1024;

/// The name of a class and its definition.
pub type NamedClass = (String, Class);

/// An error of registering classes. The registry is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum ClassRegistryError {
    /// The process has registered the maximum number of class definitions.
    #[error("class {0:?}: the process has registered the maximum of {MAX_CLASSES} class definitions")]
    TooMany(String),
    /// Two classes have the same name.
    #[error("duplicate class {0:?}")]
    Duplicate(String),
}

/// The class of a recovered message, as far as the message's record describes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecoveredClass {
    /// The name of the class.
    pub name: String,
    /// Whether the message has an idempotency key.
    pub has_idempotency_key: bool,
}

/// All classes that this process has registered, including those that a reload has removed.
#[derive(Clone)]
pub struct ClassRegistry {
    /// All classes. The index is the class ID.
    classes: Vec<NamedClass>,
    /// The classes in the settings, by name.
    current: HashMap<String, ClassId>,
    /// The classes of recovered messages.
    recovered: BTreeMap<RecoveredClass, ClassId>,
}

/// Returns a rank that is higher the less a class permits to retry a message that may have been processed.
fn strictness(class: &Class) -> (u8, u64) {
    match class.idempotency {
        Idempotency::Idempotent => (0, 0),
        Idempotency::WithKey { scope: DeduplicationScope::Destination, window } => (1, u64::MAX - window.0),
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window } => (2, u64::MAX - window.0),
        Idempotency::NonIdempotent => (3, 0),
    }
}

impl ClassRegistry {
    /// Creates a registry of the classes in the settings and the `retired` classes, to which recovered
    /// messages may belong.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes.
    pub fn new(configured: Vec<NamedClass>, retired: Vec<NamedClass>) -> Result<Self, ClassRegistryError> {
        let mut registry = Self { classes: retired, current: HashMap::new(), recovered: BTreeMap::new() };
        registry.replace_configured(configured)?;
        Ok(registry)
    }

    /// Replaces the classes in the settings.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes; the registry is then unchanged.
    pub fn replace_configured(&mut self, configured: Vec<NamedClass>) -> Result<(), ClassRegistryError> {
        let count_before = self.classes.len();
        let mut current = HashMap::new();
        for class in configured {
            let name = class.0.clone();
            let id = self.register(class);
            if current.insert(name.clone(), id).is_some() || self.classes.len() > MAX_CLASSES {
                self.classes.truncate(count_before);
                return Err(match self.classes.len() >= MAX_CLASSES {
                    true => ClassRegistryError::TooMany(name),
                    false => ClassRegistryError::Duplicate(name),
                });
            }
        }
        self.current = current;
        Ok(())
    }

    /// Returns the ID of a class definition. Registers the definition if it is new.
    fn register(&mut self, class: NamedClass) -> ClassId {
        let position = self.classes.iter().position(|known| *known == class);
        ClassId(position.unwrap_or_else(|| {
            self.classes.push(class);
            self.classes.len() - 1
        }))
    }

    /// Returns all classes, ordered by ID.
    pub fn all(&self) -> Vec<Class> {
        self.classes.iter().map(|(_, class)| class.clone()).collect()
    }

    /// Returns all classes with their names, ordered by ID.
    pub fn named(&self) -> &[NamedClass] {
        &self.classes
    }

    /// Returns the names of the classes in the settings.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.current.keys().map(String::as_str)
    }

    /// Returns the ID of a class in the settings; `None` if the settings contain no class of this name.
    pub fn current(&self, name: &str) -> Option<ClassId> {
        self.current.get(name).copied()
    }

    /// Registers the class of a recovered message. Returns false if the process knows no definition of the
    /// class.
    pub fn register_recovered(&mut self, recovered: RecoveredClass) -> bool {
        if self.recovered.contains_key(&recovered) {
            return true;
        }
        let RecoveredClass { name, has_idempotency_key } = &recovered;
        let definitions = || self.classes.iter().filter(|known| known.0 == *name).map(|known| &known.1);
        let strictest = definitions().max_by_key(|class| strictness(class)).cloned();
        let is_known = strictest.is_some();
        let mut class = strictest.unwrap_or_else(|| self.unknown_class());
        class.ordered |= definitions().any(|class| class.ordered);
        if matches!(class.idempotency, Idempotency::WithKey { .. }) && !has_idempotency_key {
            // The message was accepted under a definition that required no key: the destination could not
            // recognize a retry.
            class.idempotency = Idempotency::NonIdempotent;
        }
        let id = self.register((name.clone(), class));
        self.recovered.insert(recovered, id);
        is_known
    }

    /// Returns a class for messages whose class is unknown. It permits no retry and preserves the order of
    /// keys; its deadline is the longest and its weights are the lowest of all classes, so that other
    /// messages are preferred.
    fn unknown_class(&self) -> Class {
        let classes = || self.classes.iter().map(|(_, class)| class);
        let lowest =
            |weight: fn(&Class) -> f64| classes().map(weight).min_by(f64::total_cmp).unwrap_or_default();
        Class {
            latency_objective: classes().map(|class| class.latency_objective).max().unwrap_or(TimeDelta(1)),
            deadline: classes().map(|class| class.deadline).max().unwrap_or(TimeDelta(1)),
            priority_weight: lowest(|class| class.priority_weight),
            late_weight: lowest(|class| class.late_weight),
            idempotency: Idempotency::NonIdempotent,
            ordered: true,
        }
    }

    /// Returns the class ID of a recovered message; `None` unless [`ClassRegistry::register_recovered`] was
    /// called with the same argument.
    pub fn recovered(&self, recovered: &RecoveredClass) -> Option<ClassId> {
        self.recovered.get(recovered).copied()
    }
}

#[cfg(test)]
mod tests;
