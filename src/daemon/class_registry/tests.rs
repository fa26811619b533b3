use super::*;
use crate::TimeDelta;

fn class(name: &str, idempotency: Idempotency) -> NamedClass {
    (
        name.to_owned(),
        Class {
            latency_objective: TimeDelta(1),
            deadline: TimeDelta(2),
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency,
            ordered: false,
        },
    )
}

fn recovered(name: &str, has_idempotency_key: bool) -> RecoveredClass {
    RecoveredClass { name: name.to_owned(), has_idempotency_key }
}

/// Guards against a class ID that changes when the settings redefine, remove or restore the class, and
/// against a recovered message that is retried under a less strict definition of its class.
#[test]
fn class_ids_are_stable_and_recovered_messages_get_the_strictest_definition() {
    let (safe, strict) = (class("a", Idempotency::Idempotent), class("a", Idempotency::NonIdempotent));
    let b = class("b", Idempotency::Idempotent);
    let mut classes = ClassRegistry::new(vec![safe.clone(), b.clone()], Vec::new()).unwrap();
    classes.replace_configured(vec![strict.clone()]).unwrap();
    assert_eq!((classes.current("a"), classes.current("b")), (Some(ClassId(2)), None));
    assert!(classes.register_recovered(recovered("b", false)));
    assert_eq!(classes.recovered(&recovered("b", false)), Some(ClassId(1)));
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()]);
    classes.replace_configured(vec![b.clone(), safe.clone()]).unwrap();
    assert!(classes.register_recovered(recovered("a", true)));
    assert_eq!(
        (classes.current("a"), classes.recovered(&recovered("a", true))),
        (Some(ClassId(0)), Some(ClassId(2)))
    );
    assert_eq!(classes.named(), [safe.clone(), b.clone(), strict.clone()], "all definitions are kept");
    assert!(
        classes.replace_configured(vec![b.clone(), class("c", Idempotency::Idempotent), b.clone()]).is_err()
    );
    assert_eq!(
        (classes.all().len(), classes.current("a")),
        (3, Some(ClassId(0))),
        "a rejected change has no effect"
    );
    let mut next = ClassRegistry::new(vec![safe], vec![strict]).unwrap();
    assert!(next.register_recovered(recovered("a", true)));
    assert_eq!(next.recovered(&recovered("a", true)), Some(ClassId(0)));
    assert_eq!(next.all()[0].idempotency, Idempotency::NonIdempotent);
}

/// Guards against a recovered message that is never attempted because its class was removed or now requires a
/// key, and against losing the order of messages with the same ordering key.
#[test]
fn recovered_messages_have_a_class_under_any_settings() {
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::Destination, window: TimeDelta(5) };
    let ordered = |named: NamedClass| (named.0, Class { ordered: true, ..named.1 });
    let retired = vec![ordered(class("a", Idempotency::Idempotent))];
    let mut classes =
        ClassRegistry::new(vec![class("a", keyed), class("b", Idempotency::Idempotent)], retired).unwrap();
    assert!(
        classes.register_recovered(recovered("a", true))
            && classes.register_recovered(recovered("a", false))
            && classes.register_recovered(recovered("b", false))
    );
    assert!(!classes.register_recovered(recovered("gone", true)), "the class is unknown");
    let class_of = |name, with_key: bool| {
        classes.all()[classes.recovered(&recovered(name, with_key)).unwrap().0].clone()
    };
    assert_eq!((class_of("a", true).idempotency, class_of("a", true).ordered), (keyed, true));
    assert_eq!(
        (class_of("a", false).idempotency, class_of("a", false).ordered),
        (Idempotency::NonIdempotent, true)
    );
    assert_eq!(classes.recovered(&recovered("b", false)), classes.current("b"));
    assert_eq!(
        (class_of("gone", true).idempotency, class_of("gone", true).ordered),
        (Idempotency::NonIdempotent, true)
    );
    assert_eq!(classes.current("gone"), None);
}
