//! `docs/ERRORS.md` matches the output of `explain --markdown`.

use camphorweir::{args, exit::Exit};

#[test]
fn the_page_of_codes_is_up_to_date() {
    let command = args::command()
        .run_inner(&["explain", "--markdown"])
        .unwrap();
    let report = camphorweir::run(command);
    assert_eq!(report.exit, Exit::Done);
    let page = include_str!("../../docs/ERRORS.md");
    let remedy = "run: cargo run -p camphorweir -- explain --markdown > docs/ERRORS.md";
    assert_eq!(page.trim_end(), report.text.trim_end(), "{remedy}");
}
