//! The classes of messages over changes of the settings. Free of I/O and clocks.
//!
//! A class keeps its number for the life of the process: messages that are under way keep their class, also when the
//! settings no longer name it or give its name another meaning.
use crate::{Class, ClassId, Group, Repeat};
use std::collections::HashMap;

/// So many at the most over the life of a process.
const MOST: usize = 1024;

/// A class with its name.
pub type Named = (String, Class);

/// All that there have been.
#[derive(Clone)]
pub struct Classes {
    known: Vec<Named>,
    current: HashMap<String, ClassId>,
}

/// How little may be done with a message of a class that may have run: the more, the stricter.
fn strictness(class: &Class) -> (u8, u64) {
    match class.repeat {
        Repeat::Safe => (0, 0),
        Repeat::Keyed { group: Group::All, window } => (1, u64::MAX - window.0),
        Repeat::Keyed { group: Group::Zone, window } => (2, u64::MAX - window.0),
        Repeat::Unsafe => (3, 0),
    }
}

impl Classes {
    /// Those that the settings name, and those that messages of earlier processes may still be of.
    ///
    /// # Errors
    /// A name that stands there twice, or too many.
    pub fn new(named: Vec<Named>, retired: Vec<Named>) -> Result<Self, String> {
        let mut classes = Self { known: retired, current: HashMap::new() };
        classes.change(named)?;
        Ok(classes)
    }

    /// From now on the settings name these.
    ///
    /// # Errors
    /// A name that stands there twice, or too many; nothing has changed then.
    pub fn change(&mut self, named: Vec<Named>) -> Result<(), String> {
        let before = self.known.len();
        let mut current = HashMap::new();
        for named in named {
            let name = named.0.clone();
            let number = self.known.iter().position(|known| *known == named).unwrap_or_else(|| {
                self.known.push(named);
                self.known.len() - 1
            });
            if current.insert(name.clone(), ClassId(number)).is_some() || self.known.len() > MOST {
                self.known.truncate(before);
                return Err(match self.known.len() >= MOST {
                    true => format!("class {name:?}: there have been {MOST} classes since the start"),
                    false => format!("class {name:?} is named twice"),
                });
            }
        }
        self.current = current;
        Ok(())
    }

    /// All, by number.
    pub fn all(&self) -> Vec<Class> {
        self.known.iter().map(|(_, class)| class.clone()).collect()
    }

    /// The same with their names.
    pub fn named(&self) -> &[Named] {
        &self.known
    }

    /// Names that the settings use now.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.current.keys().map(String::as_str)
    }

    /// The class that a newcomer names.
    pub fn of_newcomer(&self, name: &str) -> Option<ClassId> {
        self.current.get(name).copied()
    }

    /// The class that a message of an earlier process names. It may have been taken on under any meaning of the name:
    /// the strictest does no harm.
    pub fn of_earlier(&self, name: &str) -> Option<ClassId> {
        let all = self.known.iter().enumerate().filter(|(_, known)| known.0 == name);
        all.max_by_key(|(_, known)| strictness(&known.1)).map(|(number, _)| ClassId(number))
    }

    /// Those that the settings no longer name so.
    pub fn retired(&self) -> Vec<Named> {
        let current = |number| self.current.values().any(|id| *id == ClassId(number));
        let retired = self.known.iter().enumerate().filter(|(number, _)| !current(*number));
        retired.map(|(_, named)| named.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Span;

    fn class(name: &str, repeat: Repeat) -> Named {
        let (aim, deadline) = (Span(1), Span(2));
        (name.to_owned(), Class { aim, deadline, worth: 1.0, late_worth: 0.3, repeat, ordered: false })
    }

    /// Guards against messages that change their class as it is renamed, vanishes or comes back, and against one of an
    /// earlier process that is repeated by a milder meaning of its class's name.
    #[test]
    fn numbers_stay_and_the_strictest_meaning_binds_what_is_older() {
        let (safe, strict) = (class("a", Repeat::Safe), class("a", Repeat::Unsafe));
        let b = class("b", Repeat::Safe);
        let mut classes = Classes::new(vec![safe.clone(), b.clone()], Vec::new()).unwrap();
        classes.change(vec![strict.clone()]).unwrap();
        assert_eq!((classes.of_newcomer("a"), classes.of_newcomer("b")), (Some(ClassId(2)), None));
        assert_eq!(classes.of_earlier("b"), Some(ClassId(1)));
        assert_eq!(classes.retired(), [safe.clone(), b.clone()]);
        classes.change(vec![b.clone(), safe.clone()]).unwrap();
        assert_eq!((classes.of_newcomer("a"), classes.of_earlier("a")), (Some(ClassId(0)), Some(ClassId(2))));
        assert_eq!((classes.all().len(), classes.retired()), (3, vec![strict.clone()]));
        assert!(classes.change(vec![b.clone(), class("c", Repeat::Safe), b.clone()]).is_err());
        assert_eq!((classes.all().len(), classes.of_newcomer("a")), (3, Some(ClassId(0))), "as before");
        let next = Classes::new(vec![safe], vec![strict]).unwrap();
        assert_eq!(next.of_earlier("a"), Some(ClassId(0)));
        assert_eq!(next.all()[0].repeat, Repeat::Unsafe);
    }
}
