//! Settings files: every fault is named with its place.

use {
    camphorweir_entry::{
        settings::{self, Format},
        units::{parse_duration, parse_size},
    },
    camphorweir_wire::code::Code,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

fn cases() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/settings")
}

fn expected(text: &str) -> Vec<String> {
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("# expect "));
    lines.map(str::to_owned).collect()
}

#[test]
fn every_fault_has_its_place_and_code() {
    let mut files = 0;
    for file in fs::read_dir(cases()).unwrap() {
        let path = file.unwrap().path();
        let yaml = path
            .extension()
            .is_some_and(|extension| extension == "yaml");
        if !yaml || path.ends_with("good.yaml") {
            continue;
        }
        files += 1;
        let faults = settings::load(&path).expect_err("the file has faults");
        assert!(faults.iter().all(|fault| fault.code == Code::BadSettings));
        let found: Vec<String> = faults
            .iter()
            .map(|fault| format!("{}:{} {}", fault.line, fault.column, fault.field))
            .map(|fault| fault.trim_end().to_owned())
            .collect();
        let wanted = expected(&fs::read_to_string(&path).unwrap());
        assert_eq!(found, wanted, "{}: {faults:#?}", path.display());
    }
    assert_eq!(files, 6);
}

#[test]
fn a_good_file_is_read_whole() {
    let settings = settings::load(&cases().join("good.yaml")).unwrap();
    assert_eq!(settings.entry, "entry-a1");
    assert_eq!(settings.platform.instances.path(), "/instances");
    assert_eq!(settings.limits.body, 2 << 20);
    assert_eq!(settings.limits.idle, Duration::from_secs(60));
    assert_eq!(settings.limits.body_time, Duration::from_millis(250));
    assert_eq!(settings.balancer_grace, Duration::from_secs(5));
    assert_eq!(settings.logs.format, Format::Text);
    assert_eq!(settings.keys.admin_write, None);
}

#[test]
fn secrets_are_not_printed() {
    let settings = settings::load(&cases().join("good.yaml")).unwrap();
    let printed = format!("{settings:?}");
    assert!(
        !printed.contains("0123456789abcdef") && !printed.contains("[1, 35"),
        "{printed}"
    );
    let bad = settings::load(&cases().join("bad-values.yaml")).unwrap_err();
    let key = fs::read_to_string(cases().join("keys/short.key")).unwrap();
    assert!(
        bad.iter()
            .all(|fault| !fault.to_string().contains(key.trim()))
    );
}

#[test]
fn a_file_that_is_not_there_is_a_fault() {
    let faults = settings::load(&cases().join("nowhere.yaml")).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].code, Code::BadSettings);
}

#[test]
fn units_are_read_and_never_guessed() {
    assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(parse_duration("2 h"), Ok(Duration::from_secs(7200)));
    assert_eq!(parse_size("64KiB"), Ok(65_536));
    for wrong in [
        "",
        "5",
        "s",
        "5 parsecs",
        "-5s",
        "1.5s",
        "99999999999999999999s",
        "ms5",
    ] {
        assert!(parse_duration(wrong).is_err(), "{wrong}");
    }
    for wrong in ["", "5", "KiB", "5KB", "-5B", "99999999999999999GiB"] {
        assert!(parse_size(wrong).is_err(), "{wrong}");
    }
}

/// A row of the table in docs/SETTINGS.md.
struct Row<'a> {
    field: &'a str,
    default: &'a str,
    example: &'a str,
}

fn rows(page: &str) -> Vec<Row<'_>> {
    let row = |line| {
        let cells: Vec<&str> = str::split(line, '|').map(str::trim).collect();
        let [_, field, default, example, meaning, _] = cells[..] else {
            panic!("not a row: {line}");
        };
        assert!(meaning.ends_with('.'), "{line}");
        let code = |cell: &'_ str| cell.strip_prefix('`')?.strip_suffix('`').map(str::len);
        let inner = |cell| match code(cell) {
            Some(length) => &cell[1..=length],
            None => cell,
        };
        Row {
            field: inner(field),
            default: inner(default),
            example: inner(example),
        }
    };
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .map(row)
        .collect()
}

/// A settings file with these fields.
fn file<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
    let mut groups = std::collections::BTreeMap::<&str, String>::new();
    let mut text = String::new();
    for (field, value) in fields {
        match field.split_once('.') {
            Some((group, name)) => {
                *groups.entry(group).or_default() += &format!("  {name}: {value}\n");
            }
            None => text += &format!("{field}: {value}\n"),
        }
    }
    for (group, fields) in groups {
        text += &format!("{group}:\n{fields}");
    }
    text
}

#[test]
fn the_page_of_settings_is_up_to_date() {
    let rows = rows(include_str!("../../docs/SETTINGS.md"));
    let read = |text: &str| settings::parse(text, &cases()).unwrap();
    let required = rows.iter().filter(|row| row.default == "required");
    let bare = file(required.clone().map(|row| (row.field, row.example)));
    // Every field that the page gives a default has it, every other exists, and none is left out.
    let defaults = rows
        .iter()
        .filter(|row| !["required", "none"].contains(&row.default));
    let defaults = defaults.map(|row| (row.field, row.default));
    let full = file(required.map(|row| (row.field, row.example)).chain(defaults));
    assert_eq!(format!("{:?}", read(&bare)), format!("{:?}", read(&full)));
    read(&file(rows.iter().map(|row| (row.field, row.example))));
    let source = include_str!("../src/settings.rs");
    let reads = source.matches(".required(\"").count() + source.matches(".optional(\"").count();
    assert_eq!(
        rows.len(),
        reads,
        "a field is missing on the page, or stands there twice"
    );
}
