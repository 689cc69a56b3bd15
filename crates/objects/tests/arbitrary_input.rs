//! Guards against panics on malformed input: files come from operators, records from other instances.

use poplarspan_objects::{Change, Kind, ObjectSet, Record, Source, check};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Fixed, so that each run tests the same cases. Proptest prints it with each failure.
const SEED: u64 = 7;

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Generates lines that are almost valid, so that they reach every branch of the reader.
fn line() -> impl Strategy<Value = String> {
    let kinds = "team|key|rate|route|endpoint|model|zone|budget|operator|format|x";
    let fields = "name|rate|budget|weight|team|digest|burst|path|kind|model|service|open|\
                  non_idempotent|timeout|max_body|max_queue|zone|address|models|capacity|\
                  cold_capacity|ramp|fencing|leaving|max_context|max_output|version|aliases|state|\
                  tokens|turns|lifetime|format";
    let values = "\"[a-z/]{0,3}\"|[0-9]{1,21}|-1|0xff|1\\.5|nan|true|\\[\"[a-b]\", \"[a-b]\"\\]|\\[1\\]|\
                  \\{ a = 1 \\}|1979-05-27|\"(chat|service|in|out)\"|\"[0-9]{1,22}(/s|KiB|ms|y| )\"|\
                  \"127\\.0\\.0\\.1:[0-9]{1,5}\"|\"blake3:[0-9a-f]{64}\"|\"ps_[A-Za-z]{43}\"|''|\"é|";
    prop_oneof![
        3 => kinds.prop_map(|kind| format!("[[{kind}]]")),
        8 => (fields, values).prop_map(|(field, value)| format!("{field} = {value}")),
        1 => "(\\[|\\[\\[)[a-z.\"]{0,8}(\\]|\\]\\])?",
        1 => "\\PC{0,12}",
    ]
}

proptest! {
    #![proptest_config(config(700))]

    /// Guards against a panic in the parser or in the computation of positions.
    #[test]
    fn text_never_panics(text in any::<String>(), other in "\\PC*") {
        let _ = check(&[Source::new("a", text), Source::new("b", other)]);
    }

    /// Guards against a rule that panics on a substitute value, and against positions outside the
    /// file.
    #[test]
    fn toml_never_panics(lines in prop::collection::vec(line(), 0..30)) {
        let text = format!("format = 1\n{}", lines.join("\n"));
        if let Err(findings) = check(&[Source::new("a", text.clone())]) {
            let count = u32::try_from(text.lines().count()).unwrap();
            prop_assert!(findings.iter().all(|f| (1..=count + 1).contains(&f.line)));
            prop_assert!(findings.as_slice().is_sorted());
        }
    }

    /// Guards against a panic of an instance that receives malformed records.
    #[test]
    fn records_never_panic(
        records in prop::collection::vec((0..9usize, "[a-z]{0,2}", record_body()), 0..6),
    ) {
        let records: Vec<_> = records
            .into_iter()
            .map(|(kind, name, body)| Record {
                kind: Kind::ALL[kind],
                name: name.into(),
                body: body.into(),
            })
            .collect();
        let _ = ObjectSet::from_records(&records);
        let changes: Vec<_> = records.into_iter().map(Change::Upsert).collect();
        let _ = ObjectSet::default().apply(&changes);
    }
}

fn record_body() -> impl Strategy<Value = Vec<u8>> {
    let json = "\\{\"name\":\"[a-z]{1,2}\"(,\"(rate|team|state|zone|serves|kind|timeout|ramp|burst)\":\
                (\"[a-z/]{0,3}\"|\"99999999999999999999y\"|-1|null|\\[\"b\",\"a\"\\]|\\{\"models\":\\[\\]\\}|1e99)){0,4}\\}";
    prop_oneof![any::<Vec<u8>>(), json.prop_map(String::into_bytes)]
}
