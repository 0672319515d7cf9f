//! Matrices: their plans, and figures that can be worked out by hand.

use foxledge_bench::{
    flows::{FlowResult, run_flows},
    matrix::{matrix_rows, matrix_table, parse_plan, run_matrix, write_csv, write_plots},
};

const PLAN: &str = r#"
sites = ["kept"]
variants = ["silent-servers"]
loads = [0.5]
mechanisms = ["idle-ends"]
first_seed = 3
seeds = 2
"#;

#[test]
fn pairs_by_seed() {
    let plan = parse_plan(PLAN).expect("is good");
    let runs = plan.runs();
    let shown: Vec<_> =
        runs.iter().map(|run| (run.without.map(|one| one.as_str()), run.seed)).collect();
    let without = Some("idle-ends");
    assert_eq!(shown, [(None, 3), (None, 4), (without, 3), (without, 4)]);
    assert!(runs.iter().all(|run| (run.level - 0.11).abs() < 1e-9));
}

#[test]
fn findings_all_told() {
    let bad = PLAN
        .replace("kept", "nowhere")
        .replace("silent-servers", "bad-luck")
        .replace("[0.5]", "[0.0, 99.0]")
        .replace("idle-ends", "magic")
        .replace("seeds = 2", "seeds = 0");
    let findings = parse_plan(&bad).expect_err("is bad");
    assert_eq!(
        findings,
        [
            "no site nowhere",
            "no variant bad-luck",
            "no mechanism magic",
            "load 0 isn't between 0.1 and 20",
            "load 99 isn't between 0.1 and 20",
            "seeds is 0",
        ]
    );
    assert!(parse_plan("sites = 1").is_err());
    let unknown = format!("{PLAN}colour = \"red\"");
    assert!(parse_plan(&unknown).expect_err("is bad")[0].contains("colour"));
    let huge = PLAN.replace("seeds = 2", "seeds = 30000");
    assert!(parse_plan(&huge).expect_err("is bad")[0].contains("runs"));
}

#[test]
fn same_seed_same_figures() {
    let plan = parse_plan(PLAN).expect("is good");
    let runs = plan.runs();
    let (one, eight) = (run_matrix(&runs, 1), run_matrix(&runs, 8));
    assert_eq!(one, eight);
    assert_eq!(one, run_flows(&runs, 1));
}

#[test]
fn means_by_hand() {
    let plan = parse_plan(PLAN).expect("is good");
    let runs = plan.runs();
    let mut results = run_matrix(&runs, 4);
    let set = |result: &mut FlowResult, in_aim, bids_served| {
        (result.in_aim, result.bids_served) = (in_aim, bids_served);
    };
    set(&mut results[0], 0.9, 0.99);
    set(&mut results[1], 0.8, 0.97);
    set(&mut results[2], 0.8, 0.95);
    set(&mut results[3], 0.6, 0.95);
    let rows = matrix_rows(&plan, &runs, &results);
    let [all, without] = rows.as_slice() else { panic!("{} rows", rows.len()) };
    let near = |a: f64, b: f64| assert!((a - b).abs() < 1e-9, "{a} {b}");
    near(all.in_aim, 0.85);
    near(all.in_aim_spread, 0.005_f64.sqrt());
    near(all.bids_failed, 20.0);
    near(without.in_aim_gain, -0.15);
    // Pairs differ by 0.1 and 0.2.
    near(without.in_aim_error, 0.05);
    near(without.bids_failed_more, 30.0);
    let table = matrix_table(&rows);
    assert_eq!(table.lines().count(), 4);
    let mut text = Vec::new();
    write_csv(&rows, &mut text).expect("is written");
    assert_eq!(String::from_utf8_lossy(&text).lines().count(), 3);
}

#[test]
fn plots_written() {
    let plan = parse_plan(PLAN).expect("is good");
    let runs = plan.runs();
    let results = run_matrix(&runs, 4);
    let folder = std::env::temp_dir().join(format!("foxledge-plots-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("is made");
    let paths = write_plots(&plan, &runs, &results, &folder).expect("are written");
    let text = std::fs::read_to_string(&paths[0]).expect("is there");
    assert!(text.starts_with("<svg") && text.contains("without idle-ends"));
    std::fs::remove_dir_all(&folder).expect("is removed");
}

// Symptom: of the submissions on kept flows one in twenty fails after a death.
// Sequence: three of 14 backend servers fall silent, their flows at rest.
// Cause: nobody ends them (the product does; without it, so it was).
#[test]
fn idle_ends_pay() {
    let plan = parse_plan(&PLAN.replace("[0.5]", "[1.0]")).expect("is good");
    let runs = plan.runs();
    let rows = matrix_rows(&plan, &runs, &run_matrix(&runs, 4));
    assert!(rows[1].bids_failed > 2.0 * rows[0].bids_failed, "{rows:?}");
    assert_eq!(rows[0].ended_falsely, 0.0);
}
