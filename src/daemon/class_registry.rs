//! Registry of the message classes of a process, across changes of the settings. No I/O and no clock.
//!
//! A class keeps its ID while the settings contain it or a message belongs to it, even after a reload that
//! removes the class from the settings or redefines its name. The ID of any other class is used for the next
//! new definition, so that the number of classes is bounded however many reloads a process applies.
//!
//! A recovered message contains only the name of its class, and may have been accepted under any definition
//! that the name has had: the strictest definition applies. A message whose class is unknown is sent once,
//! because a retry may be unsafe, and in the order of its key.
use crate::{Class, ClassId, DeduplicationScope, Idempotency, TimeDelta};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The maximum number of class definitions that the settings contain or messages belong to.
pub const MAX_CLASSES: usize = 1024;

/// The name of a class and its definition.
pub type NamedClass = (String, Class);

/// An error of registering classes. The registry is unchanged.
#[derive(Debug, thiserror::Error)]
pub enum ClassRegistryError {
    /// The maximum number of class definitions is in use.
    #[error("class {0:?}: the maximum of {MAX_CLASSES} class definitions is in use")]
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

/// The classes of this process, including those that a reload has removed and messages belong to.
#[derive(Clone)]
pub struct ClassRegistry {
    /// All classes. The index is the class ID.
    classes: Vec<NamedClass>,
    /// The classes in the settings, by name.
    current: HashMap<String, ClassId>,
    /// The classes of recovered messages.
    recovered: BTreeMap<RecoveredClass, ClassId>,
    /// The IDs of classes that nothing uses.
    unused: BTreeSet<ClassId>,
    /// The maximum number of definitions: [`MAX_CLASSES`] besides those of the messages at the start.
    max_classes: usize,
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

/// Returns the strictest definition of each name, in the order of the names' first definitions.
fn strictest_by_name(classes: Vec<NamedClass>) -> Vec<NamedClass> {
    let mut strictest: Vec<NamedClass> = Vec::new();
    let mut positions: HashMap<String, usize> = HashMap::new();
    for (name, class) in classes {
        let position = *positions.entry(name.clone()).or_insert(strictest.len());
        match strictest.get_mut(position) {
            Some((_, known)) => *known = stricter(known, &class),
            None => strictest.push((name, class)),
        }
    }
    strictest
}

/// Returns a class that permits only what both classes permit.
fn stricter(known: &Class, other: &Class) -> Class {
    let stricter = if strictness(other) > strictness(known) { other } else { known };
    Class { ordered: known.ordered || other.ordered, ..stricter.clone() }
}

impl ClassRegistry {
    /// Creates a registry of the classes in the settings and the `retired` classes, to which recovered
    /// messages may belong. Of several retired definitions of a name, only the strictest is kept, because it
    /// applies to all recovered messages of the name.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes.
    pub fn new(configured: Vec<NamedClass>, retired: Vec<NamedClass>) -> Result<Self, ClassRegistryError> {
        let retired = strictest_by_name(retired);
        let mut registry = Self {
            max_classes: retired.len() + MAX_CLASSES,
            classes: retired,
            current: HashMap::new(),
            recovered: BTreeMap::new(),
            unused: BTreeSet::new(),
        };
        registry.replace_configured(configured)?;
        Ok(registry)
    }

    /// Replaces the classes in the settings.
    ///
    /// # Errors
    /// A name is used twice, or there are too many classes; the registry is then unchanged.
    pub fn replace_configured(&mut self, configured: Vec<NamedClass>) -> Result<(), ClassRegistryError> {
        let mut changed = self.clone();
        changed.current.clear();
        for class in configured {
            let name = class.0.clone();
            let id = changed.register(class);
            if changed.current.insert(name.clone(), id).is_some() {
                return Err(ClassRegistryError::Duplicate(name));
            }
            if changed.classes.len() > self.max_classes {
                return Err(ClassRegistryError::TooMany(name));
            }
        }
        *self = changed;
        Ok(())
    }

    /// Releases the IDs of all classes that are neither in the settings nor `in_use`.
    pub fn release_unused(&mut self, in_use: &BTreeSet<ClassId>) {
        let current: BTreeSet<ClassId> = self.current.values().copied().collect();
        let ids = (0..self.classes.len()).map(ClassId);
        self.unused = ids.filter(|id| !current.contains(id) && !in_use.contains(id)).collect();
        self.recovered.retain(|_, id| !self.unused.contains(id));
    }

    /// Returns the ID of a class definition. Registers the definition if it is new.
    fn register(&mut self, class: NamedClass) -> ClassId {
        if let Some(position) = self.classes.iter().position(|known| *known == class) {
            self.unused.remove(&ClassId(position));
            return ClassId(position);
        }
        if let Some(id) = self.unused.pop_first() {
            self.classes[id.0] = class;
            return id;
        }
        self.classes.push(class);
        ClassId(self.classes.len() - 1)
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

    /// Returns whether the process knows a definition of this name.
    pub fn has_definition(&self, name: &str) -> bool {
        self.classes.iter().any(|known| known.0 == name)
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
        let definitions = self.classes.iter().filter(|known| known.0 == *name).map(|known| known.1.clone());
        let strictest = definitions.reduce(|known, other| stricter(&known, &other));
        let is_known = strictest.is_some();
        let mut class = strictest.unwrap_or_else(|| self.unknown_class());
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
