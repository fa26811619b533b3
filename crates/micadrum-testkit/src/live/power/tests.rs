use super::*;

/// Guards against a power loss that truncates synced bytes, or never truncates unsynced ones.
#[test]
fn truncates_files_to_their_synced_bytes_or_more() {
    let folder = tempfile::tempdir().unwrap();
    let mut truncated = 0;
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
        truncated += usize::from(length("a") < 160);
    }
    assert!((10..30).contains(&truncated), "{truncated}");
}
