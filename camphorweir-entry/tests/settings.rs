//! Settings files: every fault is reported with its line, column and field.

use {
    camphorweir_entry::{
        settings::{self, Format},
        units::{parse_duration, parse_size},
        yaml::Fault,
    },
    camphorweir_wire::code::Code,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

fn cases_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/settings")
}

/// Returns the faults that a case file lists in its `# expect` lines.
fn expected(text: &str) -> Vec<String> {
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("# expect "));
    lines.map(str::to_owned).collect()
}

#[test]
fn every_fault_has_its_place_and_code() {
    let mut files = 0;
    for file in fs::read_dir(cases_directory()).unwrap() {
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
    assert_eq!(files, 7);
}

#[test]
fn a_valid_file_is_read() {
    let settings = settings::load(&cases_directory().join("good.yaml")).unwrap();
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
fn an_address_of_a_listener_has_one_use() {
    let text = fs::read_to_string(cases_directory().join("same-address.yaml")).unwrap();
    let parse = |text: &str| settings::parse(text, &cases_directory());
    let faults = parse(&text).unwrap_err();
    assert!(faults[0].what.contains("listen.peers"), "{faults:?}");
    let faults = parse(&text.replace(":8081", ":8080")).unwrap_err();
    let fields: Vec<&str> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["listen.peers", "listen.admin"]);
    let names_other = |fault: &Fault| fault.what.contains("listen.callers");
    assert!(faults.iter().all(names_other), "{faults:?}");
    let free = text.replace(":8080", ":0").replace(":8081", ":0");
    assert!(parse(&free).is_ok(), "port 0 is a free port each time");
}

#[test]
fn secrets_are_not_printed() {
    let settings = settings::load(&cases_directory().join("good.yaml")).unwrap();
    let printed = format!("{settings:?}");
    assert!(
        !printed.contains("0123456789abcdef") && !printed.contains("[1, 35"),
        "{printed}"
    );
    let bad = settings::load(&cases_directory().join("bad-values.yaml")).unwrap_err();
    let key = fs::read_to_string(cases_directory().join("keys/short.key")).unwrap();
    assert!(
        bad.iter()
            .all(|fault| !fault.to_string().contains(key.trim()))
    );
}

#[test]
fn a_missing_file_is_a_fault() {
    let faults = settings::load(&cases_directory().join("nowhere.yaml")).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].code, Code::BadSettings);
}

#[test]
fn durations_and_sizes_require_a_valid_unit() {
    assert_eq!(parse_duration("250ms"), Ok(Duration::from_millis(250)));
    assert_eq!(parse_duration("2 h"), Ok(Duration::from_secs(7200)));
    assert_eq!(parse_size("64KiB"), Ok(65_536));
    for invalid in [
        "",
        "5",
        "s",
        "5 parsecs",
        "-5s",
        "1.5s",
        "99999999999999999999s",
        "ms5",
    ] {
        assert!(parse_duration(invalid).is_err(), "{invalid}");
    }
    for invalid in ["", "5", "KiB", "5KB", "-5B", "99999999999999999GiB"] {
        assert!(parse_size(invalid).is_err(), "{invalid}");
    }
}

/// A row of the table in docs/SETTINGS.md.
struct Row<'a> {
    field: &'a str,
    default: &'a str,
    example: &'a str,
}

/// Parses the rows that start with a quoted field name, without the backquotes, and asserts that
/// each meaning ends with a full stop.
fn rows(page: &str) -> Vec<Row<'_>> {
    let row = |line| {
        let cells: Vec<&str> = str::split(line, '|').map(str::trim).collect();
        let [_, field, default, example, meaning, _] = cells[..] else {
            panic!("not a row: {line}");
        };
        assert!(meaning.ends_with('.'), "{line}");
        let quoted_len = |cell: &'_ str| cell.strip_prefix('`')?.strip_suffix('`').map(str::len);
        let unquoted = |cell| match quoted_len(cell) {
            Some(length) => &cell[1..=length],
            None => cell,
        };
        Row {
            field: unquoted(field),
            default: unquoted(default),
            example: unquoted(example),
        }
    };
    page.lines()
        .filter(|line| line.starts_with("| `"))
        .map(row)
        .collect()
}

/// Writes a settings file with these fields and values.
fn settings_text<'a>(fields: impl Iterator<Item = (&'a str, &'a str)>) -> String {
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
fn the_settings_page_is_up_to_date() {
    let rows = rows(include_str!("../../docs/SETTINGS.md"));
    let read = |text: &str| settings::parse(text, &cases_directory()).unwrap();
    let required = rows.iter().filter(|row| row.default == "required");
    let required_only = settings_text(required.clone().map(|row| (row.field, row.example)));
    // The defaults on the page match the code, all fields on the page exist, and none is missing.
    let defaults = rows
        .iter()
        .filter(|row| !["required", "none"].contains(&row.default));
    let defaults = defaults.map(|row| (row.field, row.default));
    let with_defaults = settings_text(required.map(|row| (row.field, row.example)).chain(defaults));
    assert_eq!(
        format!("{:?}", read(&required_only)),
        format!("{:?}", read(&with_defaults))
    );
    read(&settings_text(
        rows.iter().map(|row| (row.field, row.example)),
    ));
    let source = include_str!("../src/settings.rs");
    let fields_read =
        source.matches(".required(\"").count() + source.matches(".optional(\"").count();
    assert_eq!(
        rows.len(),
        fields_read,
        "a field is missing on the page or listed twice"
    );
}
