use super::*;

/// Guards against a power loss that takes what was synced, or that takes nothing.
#[test]
fn a_folder_is_cut_back_to_what_was_synced() {
    let folder = tempfile::tempdir().unwrap();
    let mut shorter = 0;
    for seed in 0..30 {
        let mut durable_state = DurableState::default();
        for line in ["begun b.new", "synced b.new 40", "renamed b.new b", "synced a 100", "begun c"] {
            durable_state.apply(line);
        }
        for (name, length) in [("a", 160), ("b", 40), ("c", 9)] {
            std::fs::write(folder.path().join(name), vec![7; length]).unwrap();
        }
        durable_state.truncate_files(folder.path(), &mut SeededRng::new(seed, "power")).unwrap();
        let length = |name: &str| std::fs::metadata(folder.path().join(name)).unwrap().len();
        assert!((100..=160).contains(&length("a")) && length("b") == 40 && length("c") <= 9);
        shorter += usize::from(length("a") < 160);
    }
    assert!((10..30).contains(&shorter), "{shorter}");
}
