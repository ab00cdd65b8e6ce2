//! The capacity page: its tables follow from the data files, and invalid or outdated pages and
//! files are rejected.

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

/// A folder of this test process, removed on drop.
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
fn capacity_page_is_up_to_date() {
    repository().check().unwrap();
}

#[test]
fn tables_are_computed_from_slopes_and_targets() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    let rows = [
        "| backends | 1,000 | yes |",
        "| bytes an answer | 200 | no |",
        // 2,000 + 1,200 x 1,000 bytes with a budget of 0.5 MB, which is exhausted at (500,000 -
        // 2,000) / 1,200 backends.
        "| heap of backends | 1.2 MB ± 0.0125 | 2,000 + 1,200 ± 12.5 bytes x backends (`heap/bytes`) | 0.5 MB | 2.4 | 41.5% | \
         `src/name_table.rs` |",
        // Backends and requests grow together, so half of the need is reached at the square root of
        // 0.5.
        "| choice among backends | 2.5 % of a core ± 0.1 | 0 + 0.05 ± 0.002 us x backends x requests a second \
         (`choice/cpu`, not linear) | 25 % of a core | 0.1 | 316% | `src/balance.rs` |",
        "| bytes | 100 KB/s, *not measured* | 1 x requests a second x bytes an answer (made up) | - | - | - | **missing** |",
        "| 1 | 41.5% | ingress control | heap of backends | program | measured |",
        "| 2 | 117% | counter | calls | platform | *not measured* |",
        "| 3 | 316% | ingress control | choice among backends | program | measured |",
        // 20,000 bytes per backend: 25 backends exhaust 0.5 MB.
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
fn rendering_twice_changes_nothing() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    assert_eq!(rendered(&page, SAMPLE_TARGETS).unwrap(), page);
}

#[test]
fn stale_figure_is_reported_with_its_line() {
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
fn truncated_page_is_rejected() {
    let page = rendered(SAMPLE_PAGE, SAMPLE_TARGETS).unwrap();
    let (_scratch, files) = Scratch::with_page("short", &page);
    std::fs::write(&files.page, page.replace("\n\nThe end.", "")).unwrap();
    // Text outside of the tables is not checked.
    files.check().unwrap();
    std::fs::write(&files.page, page.trim_end()).unwrap();
    assert!(matches!(files.check(), Err(PageError::Stale { .. })));
}

#[test]
fn unpaired_markers_are_rejected() {
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
fn unknown_names_in_rows_are_rejected() {
    for (known, unknown) in [
        ("quantity = \"cpu\"", "quantity = \"wall\""),
        ("at = [\"backends\"]", "at = [\"bananas\"]"),
        ("[\"requests_a_second\"]", "[\"requests\"]"),
    ] {
        let result = rendered(SAMPLE_PAGE, &SAMPLE_TARGETS.replace(known, unknown));
        assert!(matches!(result, Err(PageError::Row { .. })), "{result:?}");
    }
    assert!(Targets::parse(&SAMPLE_TARGETS.replace("budget =", "budgte =")).is_err());
}

#[test]
fn duplicate_measurement_is_rejected() {
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
    assert!(matches!(
        files.check(),
        Err(PageError::DuplicateMeasurement { .. })
    ));
}

/// Returns the share of the target at which a row of the sample exhausts a budget.
fn exhausted_at(targets: &str, row: usize, budget: f64) -> Share {
    let targets = Targets::parse(targets).unwrap();
    Need::of(&targets.rows[row], &targets, &sample_measurements())
        .unwrap()
        .exhausted_at(budget)
}

fn assert_at(share: Share, expected: f64) {
    assert!(
        matches!(share, Share::At(at) if (at - expected).abs() < 1e-9),
        "{share:?}, expected {expected}"
    );
}

#[test]
fn budget_is_exceeded_at_no_load_within_range_or_beyond() {
    let fixed = SAMPLE_TARGETS.replace(
        "value = 1.2, times = [\"requests_a_second\"]",
        "value = 1.2",
    );
    assert_eq!(exhausted_at(&fixed, 3, 1.1), Share::AtNoLoad);
    assert_eq!(exhausted_at(&fixed, 3, 1.3), Share::Beyond);
    assert_at(exhausted_at(SAMPLE_TARGETS, 0, 1.202), 1.0);
}

#[test]
fn needs_interpolate_points_and_extrapolate_the_line() {
    // 14,000 bytes at 10 backends, 122,000 at 100, 362,000 at 300; above that 1,200 bytes per
    // backend.
    assert_at(exhausted_at(SAMPLE_TARGETS, 0, 0.007), 0.005);
    assert_at(exhausted_at(SAMPLE_TARGETS, 0, 0.068), 0.055);
    assert_at(exhausted_at(SAMPLE_TARGETS, 0, 0.602), 0.5);
}
