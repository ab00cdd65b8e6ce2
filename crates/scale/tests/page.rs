//! The page's tables follow from the files that it quotes, and a page or a file that does not fit is refused.

use driftgap_scale::page::{render, Measurements, Need, PageError, PageFiles, Share, Targets};
use std::path::{Path, PathBuf};

const SAMPLE_PAGE: &str = include_str!("sample/page.md");
const SAMPLE_TARGETS: &str = include_str!("sample/targets.toml");

fn sample_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sample")
}

fn sample_measurements() -> Measurements {
    Measurements::read(&sample_folder()).unwrap()
}

fn rendered(page: &str, targets: &str) -> Result<String, PageError> {
    render(
        page,
        &Targets::parse(targets).unwrap(),
        &sample_measurements(),
    )
}

/// A folder of this test process, gone with its owner.
struct Scratch(PathBuf);

impl Scratch {
    fn with_page(name: &str, page: &str) -> (Scratch, PageFiles) {
        let folder =
            std::env::temp_dir().join(format!("driftgap-page-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let files = PageFiles {
            page: folder.join("page.md"),
            targets: folder.join("targets.toml"),
            measurements: sample_folder(),
        };
        std::fs::write(&files.page, page).unwrap();
        std::fs::write(&files.targets, SAMPLE_TARGETS).unwrap();
        (Scratch(folder), files)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn repository() -> PageFiles {
    PageFiles::of_repository(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
}

#[test]
fn the_tables_of_the_capacity_page_follow_from_its_files() {
    repository().check().unwrap();
}

#[test]
fn tables_are_worked_out_from_slopes_and_targets() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    let rows = [
        "| backends | 1,000 | yes |",
        "| bytes an answer | 200 | no |",
        // 2,000 + 1,200 x 1,000 bytes against half a megabyte: spent at (500,000 - 2,000) / 1,200 backends.
        "| heap of backends | 1.2 MB ± 0.0125 | 2,000 + 1,200 ± 12.5 bytes x backends (`heap/bytes`) | 0.5 MB | 2.4 | 41.5% | \
         `src/name_table.rs` |",
        // Backends and requests grow together, so that half of the need is reached at the root of a half.
        "| choice among backends | 2.5 % of a core ± 0.1 | 0 + 0.05 ± 0.002 us x backends x requests a second \
         (`choice/cpu`, not linear) | 25 % of a core | 0.1 | 316% | `src/balance.rs` |",
        "| bytes | 100 KB/s, *not measured* | 1 x requests a second x bytes an answer (made up) | - | - | - | **missing** |",
        "| 1 | 41.5% | ingress control | heap of backends | program | measured |",
        "| 2 | 117% | counter | calls | platform | *not measured* |",
        "| 3 | 316% | ingress control | choice among backends | program | measured |",
        // 20,000 bytes a backend: 25 of them are half a megabyte.
        "| 1 | 2.5% | before | heap of backends | program | measured |",
    ];
    for row in rows {
        assert!(
            page.lines().any(|line| line == row),
            "no line {row:?} in\n{page}"
        );
    }
    assert!(!page.contains("what was here before"));
    assert!(page.starts_with("# A sample page\n") && page.ends_with("The end.\n"));
}

#[test]
fn making_the_tables_anew_changes_nothing() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    assert_eq!(rendered(&page, SAMPLE_TARGETS).unwrap(), page);
}

#[test]
fn a_page_with_a_figure_that_its_files_do_not_give_is_refused_with_its_line() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    let (_scratch, files) =
        Scratch::with_page("stale", &page.replace("1,200 ± 12.5", "1,100 ± 12.5"));
    let error = files.check().unwrap_err();
    let line = 1 + page
        .lines()
        .position(|line| line.contains("1,200 ± 12.5"))
        .unwrap();
    assert!(
        matches!(&error, PageError::Stale { line: found, .. } if *found == line),
        "{error}"
    );
    assert!(files.write().unwrap());
    files.check().unwrap();
    assert!(!files.write().unwrap());
}

#[test]
fn a_page_that_lacks_its_last_lines_is_refused() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    let (_scratch, files) = Scratch::with_page("short", &page);
    std::fs::write(&files.page, page.replace("\n\nThe end.", "")).unwrap();
    // What stands outside of the tables is the writer's.
    files.check().unwrap();
    std::fs::write(&files.page, page.trim_end()).unwrap();
    assert!(matches!(files.check(), Err(PageError::Stale { .. })));
}

#[test]
fn markers_out_of_order_are_refused() {
    let broken = [
        SAMPLE_PAGE.replace("<!-- end table counter -->", ""),
        SAMPLE_PAGE.replace("<!-- begin table counter -->", ""),
        SAMPLE_PAGE.replace("table counter -->", "table elsewhere -->"),
        SAMPLE_PAGE
            .replace("<!-- begin table counter -->\n", "")
            .replace("<!-- end table counter -->\n", ""),
    ];
    for page in broken {
        let result = rendered(&page, SAMPLE_TARGETS);
        assert!(
            matches!(result, Err(PageError::Markers(_))),
            "{result:?} of\n{page}"
        );
    }
}

#[test]
fn a_row_that_names_what_there_is_not_is_refused() {
    for (there, not_there) in [
        ("quantity = \"cpu\"", "quantity = \"wall\""),
        ("at = [\"backends\"]", "at = [\"bananas\"]"),
        ("[\"requests_a_second\"]", "[\"requests\"]"),
    ] {
        let result = rendered(SAMPLE_PAGE, &SAMPLE_TARGETS.replace(there, not_there));
        assert!(matches!(result, Err(PageError::Row { .. })), "{result:?}");
    }
    assert!(Targets::parse(&SAMPLE_TARGETS.replace("budget =", "budgte =")).is_err());
}

#[test]
fn a_measurement_in_two_files_is_refused() {
    let (scratch, mut files) = Scratch::with_page("doubled", SAMPLE_PAGE);
    files.measurements = scratch.0.clone();
    let copy = |from: &str, to: &str| {
        std::fs::create_dir_all(scratch.0.join("before")).unwrap();
        std::fs::copy(sample_folder().join(from), scratch.0.join(to)).unwrap();
    };
    copy("choice.json", "choice.json");
    copy("heap.json", "heap.json");
    copy("before/heap.json", "before/heap.json");
    files.write().unwrap();
    copy("heap.json", "again.json");
    assert!(matches!(files.check(), Err(PageError::Doubled { .. })));
}

/// The share of the target at which a row of the sample has spent a budget.
fn gives_out(targets: &str, row: usize, budget: f64) -> Share {
    let targets = Targets::parse(targets).unwrap();
    Need::of(&targets.rows[row], &targets, &sample_measurements())
        .unwrap()
        .gives_out(budget)
}

fn assert_at(share: Share, expected: f64) {
    assert!(
        matches!(share, Share::At(at) if (at - expected).abs() < 1e-9),
        "{share:?} in place of {expected}"
    );
}

#[test]
fn a_budget_is_spent_at_no_load_at_a_share_or_beyond_ten_times_the_target() {
    let fixed = SAMPLE_TARGETS.replace(
        "value = 1.2, times = [\"requests_a_second\"]",
        "value = 1.2",
    );
    assert_eq!(gives_out(&fixed, 3, 1.1), Share::Never);
    assert_eq!(gives_out(&fixed, 3, 1.3), Share::Beyond);
    assert_at(gives_out(SAMPLE_TARGETS, 0, 1.202), 1.0);
}

#[test]
fn needs_are_read_off_points_within_the_measured_sizes_and_off_the_line_beyond() {
    // 14,000 bytes at 10 backends, 122,000 at 100, 362,000 at 300; then 1,200 for each.
    assert_at(gives_out(SAMPLE_TARGETS, 0, 0.007), 0.005);
    assert_at(gives_out(SAMPLE_TARGETS, 0, 0.068), 0.055);
    assert_at(gives_out(SAMPLE_TARGETS, 0, 0.602), 0.5);
}
