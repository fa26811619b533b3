use super::*;

const HEAD: &str = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";

fn wrong(rest: &str) -> ScenarioError {
    Scenario::parse("x.toml", &format!("{HEAD}{rest}")).expect_err("a bad file was taken")
}

/// Guards against a bad file that is played anyway, or an error that does not tell where to look.
#[test]
fn bad_files_are_refused_with_place_and_reason() {
    let cases: &[(&str, usize, &str)] = &[
        ("colour = 3\n", 5, "unknown field `colour`"),
        ("crossing = \"110\"\n", 5, "needs a unit"),
        ("crossing = \"110 miles\"\n", 5, "is not a unit of time"),
        ("crossing = 110\n", 5, "expected a span of time"),
        ("load = \"300%\"\n", 5, "between 5% and 200%"),
        ("buildings = []\n", 5, "must be a building"),
        ("[[fault]]\nkind = \"hang\"\nat = \"50 s\"\nfor = \"20 s\"\n", 7, "outside the day of 60 s"),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\n", 7, "needs `for`"),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nnth = 3\n", 7, "`nth` means nothing"),
        ("[[fault]]\nkind = \"hung\"\nat = \"5 s\"\n", 6, "unknown variant `hung`"),
        (
            "[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nbuilding = \"c\"\n",
            7,
            "no building \"c\"",
        ),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\npartners = [9]\n", 7, "no partner 9"),
        ("[[peak]]\nat = \"50 s\"\nfor = \"20 s\"\ntimes = 2.0\n", 6, "outside the day"),
    ];
    for (rest, line, what) in cases {
        let error = wrong(rest);
        assert!(error.problem.to_string().contains(what), "{rest}: {error}");
        assert_eq!(error.line, *line, "{rest}: {error}");
    }
    let good = format!("{HEAD}[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nshare = \"26%\"\n");
    assert_eq!(Scenario::parse("x.toml", &good).unwrap().faults().count(), 1);
}
