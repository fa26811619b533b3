use super::*;
use crate::TimeDelta;

fn class(name: &str, repeat: Idempotency) -> NamedClass {
    let (aim, deadline) = (TimeDelta(1), TimeDelta(2));
    (
        name.to_owned(),
        Class {
            latency_objective: aim,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency: repeat,
            ordered: false,
        },
    )
}

fn recovered(name: &str, has_idempotency_key: bool) -> RecoveredClass {
    RecoveredClass { name: name.to_owned(), has_idempotency_key }
}

/// Guards against messages that change their class as it is renamed, vanishes or comes back, and against one of an
/// earlier process that is repeated by a milder meaning of its class's name.
#[test]
fn numbers_stay_and_the_strictest_meaning_binds_what_is_older() {
    let (safe, strict) = (class("a", Idempotency::Idempotent), class("a", Idempotency::NonIdempotent));
    let b = class("b", Idempotency::Idempotent);
    let mut classes = ClassRegistry::new(vec![safe.clone(), b.clone()], Vec::new()).unwrap();
    classes.change(vec![strict.clone()]).unwrap();
    assert_eq!((classes.current("a"), classes.current("b")), (Some(ClassId(2)), None));
    assert!(classes.register_recovered(recovered("b", false)));
    assert_eq!(classes.recovered(&recovered("b", false)), Some(ClassId(1)));
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()]);
    classes.change(vec![b.clone(), safe.clone()]).unwrap();
    assert!(classes.register_recovered(recovered("a", true)));
    assert_eq!(
        (classes.current("a"), classes.recovered(&recovered("a", true))),
        (Some(ClassId(0)), Some(ClassId(2)))
    );
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()], "all meanings stay");
    assert!(classes.change(vec![b.clone(), class("c", Idempotency::Idempotent), b.clone()]).is_err());
    assert_eq!((classes.all().len(), classes.current("a")), (3, Some(ClassId(0))), "as before");
    let mut next = ClassRegistry::new(vec![safe], vec![strict]).unwrap();
    assert!(next.register_recovered(recovered("a", true)));
    assert_eq!(next.recovered(&recovered("a", true)), Some(ClassId(0)));
    assert_eq!(next.all()[0].idempotency, Idempotency::NonIdempotent);
}

/// Guards against a message of before that is never tried as its class has gone or now wants a key that it does not
/// have, and against an order that is lost as the strictest meaning of its effect asked for none.
#[test]
fn a_message_of_before_has_a_class_whatever_the_settings_have_become() {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Destination, window: TimeDelta(5) };
    let in_order = |named: NamedClass| (named.0, Class { ordered: true, ..named.1 });
    let retired = vec![in_order(class("a", Idempotency::Idempotent))];
    let mut classes =
        ClassRegistry::new(vec![class("a", keyed), class("b", Idempotency::Idempotent)], retired).unwrap();
    assert!(
        classes.register_recovered(recovered("a", true))
            && classes.register_recovered(recovered("a", false))
            && classes.register_recovered(recovered("b", false))
    );
    assert!(!classes.register_recovered(recovered("gone", true)), "nothing is known of it");
    let of = |name, with_key: bool| {
        classes.all()[classes.recovered(&recovered(name, with_key)).unwrap().0].clone()
    };
    assert_eq!((of("a", true).idempotency, of("a", true).ordered), (keyed, true));
    assert_eq!((of("a", false).idempotency, of("a", false).ordered), (Idempotency::NonIdempotent, true));
    assert_eq!(classes.recovered(&recovered("b", false)), classes.current("b"));
    assert_eq!((of("gone", true).idempotency, of("gone", true).ordered), (Idempotency::NonIdempotent, true));
    assert_eq!(classes.current("gone"), None);
}
