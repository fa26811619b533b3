use super::*;

const HEAD: &str = "title = \"t\"\nlength = \"60 s\"\nsenders = 2\ntraffic = \"20/s\"\n";

fn parse_error(rest: &str) -> ScenarioError {
    Scenario::parse("x.toml", &format!("{HEAD}{rest}")).expect_err("an invalid file was accepted")
}

/// Guards against an invalid file that is accepted, and against an error that does not name the line and the
/// problem.
#[test]
fn rejects_invalid_files_with_line_and_problem() {
    let cases: &[(&str, usize, &str)] = &[
        ("colour = 3\n", 5, "unknown field `colour`"),
        ("crossing = \"110\"\n", 5, "needs a unit"),
        ("crossing = \"110 miles\"\n", 5, "\"miles\" is not a unit of time"),
        ("crossing = 110\n", 5, "expected a span of time"),
        ("load = \"300%\"\n", 5, "between 5% and 200%"),
        ("buildings = []\n", 5, "must name at least one building"),
        (
            "[[fault]]\nkind = \"hang\"\nat = \"50 s\"\nfor = \"20 s\"\n",
            7,
            "after the end of the run at 60 s",
        ),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\n", 7, "requires the field `for`"),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nnth = 3\n", 7, "has no field `nth`"),
        ("[[fault]]\nkind = \"hung\"\nat = \"5 s\"\n", 6, "unknown variant `hung`"),
        (
            "[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nbuilding = \"c\"\n",
            7,
            "no building \"c\"",
        ),
        ("[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\npartners = [9]\n", 7, "no partner 9"),
        ("[[peak]]\nat = \"50 s\"\nfor = \"20 s\"\ntimes = 2.0\n", 6, "after the end of the run at 60 s"),
    ];
    for (rest, line, what) in cases {
        let error = parse_error(rest);
        assert!(error.problem.to_string().contains(what), "{rest}: {error}");
        assert_eq!(error.line, *line, "{rest}: {error}");
    }
    let good = format!("{HEAD}[[fault]]\nkind = \"hang\"\nat = \"5 s\"\nfor = \"2 s\"\nshare = \"26%\"\n");
    assert_eq!(Scenario::parse("x.toml", &good).unwrap().faults().count(), 1);
}
