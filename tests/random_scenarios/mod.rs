//! Random scenarios, each generated from a seed. The range of the seed determines the kind of scenario.

use crate::runner::script::Script;

/// Rules for the scenarios that have some: with labels, colocation rules, and preferences that are worth waiting for.
const RULES: &str = r#"rules one {"labels": {"zones": {"b": {"near": ["print"]}}, "types": {"large": {"fonts": ["oromo"]}}}, "rules": [{"name": "fonts", "for": {"lanes": ["renders"]}, "require": "fonts has oromo or near has print"}, {"name": "apart", "for": {"lanes": ["watermark"]}, "require": "not beside lane masters"}, {"name": "print", "for": {"lanes": ["renders", "plain"]}, "prefer": "near has print", "weight": 5, "waitS": 15}, {"name": "home", "for": {"lanes": ["masters", "plain"]}, "prefer": "zone = a", "weight": 3, "waitS": 10}]}
rules two {"rules": [{"name": "fonts", "for": {"lanes": ["renders"]}, "require": "zone = a or cores > 8"}, {"name": "apart", "for": {"lanes": ["watermark"]}, "require": "not beside lane {masters, plain}"}, {"name": "kept", "for": {"lanes": ["urgent"]}, "prefer": "not spot"}]}
own cores [{"name": "any", "require": "cores >= 8"}, {"name": "large", "prefer": "cores > 8", "weight": 4, "waitS": 6}]
own alone [{"name": "alone", "require": "not beside lane {renders, plain}"}]
"#;

/// A job of a scenario with fault combinations, of one of these teams and with one of these extra fields.
fn generate_job(
    pick: &mut impl FnMut(u64) -> u64,
    at: u64,
    job: u64,
    (task_count, run): (u64, u64),
    teams: &[&str],
    extras: &[&str],
) -> String {
    let (priority, job_class) =
        [("high", "urgent"), ("standard", "lane"), ("low", "idle")][pick(3) as usize];
    let team = teams[pick(teams.len() as u64) as usize];
    let extra = extras[pick(extras.len() as u64) as usize];
    format!(
        "at {at} submit req-{job:06} pieces={task_count} cores={} run={run} team={team} urgency={priority} lane={job_class} image=i{} due={}{extra}\n",
        1 + pick(3),
        pick(3),
        60 + run + pick(200),
    )
}

/// A scenario in which two or three fault combinations overlap: long and short tasks, jobs of two or three tasks,
/// cancellations at any time.
fn with_fault_combinations(seed: u64) -> Script {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pick = |n: u64| rng.random_range(0..n);
    let nodes = 3 + 2 * pick(2);
    let mut text = format!(
        "seed {seed}\nnodes {nodes}\nend 560\nlease 15\nreport {}\ncancel 40\nvalue_kb {}\n\
         team red cores=20 most=60\n\
         type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=6 spot=10 stuck=0.03\n\
         type large cores=32 mem=96 boot=8 price=3.6 spot_price=1.4 count=2 spot=4\n",
        [1.0, 2.5, 5.0][pick(3) as usize],
        [4, 16][pick(2) as usize],
    );
    for job in 1..=22 {
        let at = 1 + pick(130);
        let (task_count, run) = [
            (2 + pick(2), 20 + pick(100)),
            (1 + pick(24), 40 + pick(80)),
            (1 + pick(12), 2 + pick(20)),
        ][pick(3) as usize];
        let extras = ["", "", " bookmark=5 stash=2", " spot=no", " shape=group"];
        text += &generate_job(
            &mut pick,
            at,
            job,
            (task_count, run),
            &["red", "free", "free"],
            &extras,
        );
        match pick(9) {
            0..4 => {
                let to =
                    [String::new(), format!(" node=n{}", pick(nodes))][pick(2) as usize].clone();
                text += &format!("at {} abort req-{job:06}{to}\n", at + pick(70));
            }
            4 => {
                text += &format!(
                    "at {at} submit req-{:06} pieces=4 cores=1 run=8 awaits=req-{job:06}\n",
                    100 + job
                );
            }
            _ => {}
        }
    }
    for _ in 0..2 + pick(2) {
        let at = 15 + pick(100);
        let (n, other, m) = (pick(nodes), pick(nodes), 1 + pick(12));
        let span = 10 + pick(40);
        let mode = ["drop", "hold", "reset"][pick(3) as usize];
        let soon = ["0.2", "0.6", "3", "14"][pick(4) as usize];
        text += &match pick(10) {
            // Commands are delayed, and a machine hangs and continues.
            0 => format!(
                "at {at} cut nodes machines mode=late-commands for={span}\nat {} hang i-{m:06} for={}\n",
                at + pick(span),
                4 + pick(12)
            ),
            // The state service first refuses one controller, then it is unavailable to all.
            1 => format!(
                "at {at} refuse n{n} for={span}\nat {} outage state for={}\n",
                at + span,
                30 + pick(40)
            ),
            // The same, and the refused controller receives no hints from its peers.
            2 => format!(
                "at {at} cut n{n} nodes mode=drop for={}\nat {at} refuse n{n} for={span}\nat {} outage state for={}\n",
                span + 30,
                at + span,
                30 + pick(40)
            ),
            3 => {
                format!(
                    "at {at} cut n{n} state mode={mode} for={span}\nat {at} cut n{n} nodes mode=drop for={span}\n"
                )
            }
            4 => format!(
                "at {at} crash n{n} for={soon}\nat {} crash n{other} for={soon}\n",
                at + 10 + pick(60)
            ),
            5 => format!(
                "at {at} late-reports share=0.{} for={}\n",
                2 + pick(7),
                span * 2
            ),
            6 => format!(
                "at {at} deaf i-{m:06} count={} for={}\nat {} crash n{n} for={soon}\n",
                1 + pick(6),
                span * 3,
                at + 2
            ),
            7 => format!(
                "at {at} cut i-{m:06} nodes mode={mode} for={span}\nat {} crash n{n} for={soon}\n",
                at + 2
            ),
            8 => format!(
                "at {at} late-writes share=0.{} for={}\n",
                1 + pick(5),
                span * 2
            ),
            _ => format!(
                "at {at} crash n{n} for={soon} times=3 every=4\nat {} crash nodes for={soon}\nat {} hang n{other} for={}\n",
                at + 20,
                at + 30,
                3 + pick(12)
            ),
        };
    }
    text += "expect all-done\nexpect fair\n";
    parse(&text)
}

/// Parses the text of a generated scenario.
fn parse(text: &str) -> Script {
    Script::parse(text).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// Scenarios with late copies have seeds above this one.
const LATE_COPIES_SEEDS_FROM: u64 = 7_000;

/// A scenario in which fault combinations of all kinds overlap, and requests of one kind or of all arrive again later.
fn with_late_copies(seed: u64) -> Script {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pick = |n: u64| rng.random_range(0..n);
    let kind = [
        "",
        "",
        " of=commands",
        " of=commands",
        " of=transactions",
        " of=leases",
        " of=cloud",
        " of=hints",
        " of=heartbeats",
        " of=users",
    ][pick(10) as usize];
    let text = all_fault_combinations(seed)
        + &format!(
            "at 3 late-copies{kind} share=0.{} min=0.{} max={} copies={} for={}\n",
            1 + pick(9),
            1 + pick(8),
            [2, 20, 150][pick(3) as usize],
            1 + pick(4),
            60 + pick(120),
        );
    parse(&text)
}

/// The text of a scenario in which two or three fault combinations of all kinds overlap.
fn all_fault_combinations(seed: u64) -> String {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pick = |n: u64| rng.random_range(0..n);
    let nodes = 3 + 2 * pick(2);
    let zones = ["a", "a", "a,b,c"][pick(3) as usize];
    let mut text = format!(
        "seed {seed}\nnodes {nodes}\nzones {zones}\nend 900\nlease 15\nreport {}\ncancel 40\nvalue_kb {}\n\
         team red cores=12 most={}\nteam blue cores=8 most=36\n\
         type small cores=8 mem=32 boot={} price=1 spot_price=0.4 count=6 spot=10 stuck=0.03 zones={zones}\n\
         type large cores=32 mem=96 boot=8 price=3.6 spot_price=1.4 count=2 spot=4 zones={zones}\n",
        [1.0, 2.5, 5.0][pick(3) as usize],
        [4, 16][pick(2) as usize],
        [24, 60][pick(2) as usize],
        ["4", "1.4"][pick(2) as usize],
    );
    for job in 1..=24 {
        let at = 1 + pick(130);
        let (task_count, run) = [
            (2 + pick(2), 20 + pick(100)),
            (1 + pick(24), 40 + pick(80)),
            (1 + pick(12), 2 + pick(20)),
            (1, 1 + pick(9)),
        ][pick(4) as usize];
        let extras = [
            "",
            "",
            " bookmark=5 stash=2",
            " spot=no",
            " shape=group",
            " yard=a",
        ];
        text += &generate_job(
            &mut pick,
            at,
            job,
            (task_count, run),
            &["red", "blue", "free"],
            &extras,
        );
        match pick(9) {
            0..3 => text += &format!("at {} abort req-{job:06}\n", at + pick(70)),
            3 => {
                text += &format!(
                    "at {at} submit req-{:06} pieces=4 cores=1 run=8 awaits=req-{job:06}\n",
                    100 + job
                );
            }
            _ => {}
        }
    }
    // More overlapping fault combinations than CI has.
    let additional: u64 = std::env::var("MEETINGS")
        .ok()
        .map_or(0, |s| s.parse().unwrap());
    for _ in 0..2 + pick(2) + additional {
        let at = 15 + pick(100);
        let (n, other, m) = (pick(nodes), pick(nodes), 1 + pick(12));
        let span = 10 + pick(40);
        let mode = ["drop", "hold", "reset"][pick(3) as usize];
        let soon = ["0.2", "0.6", "3", "14"][pick(4) as usize];
        let of = [
            "",
            "",
            " of=submit",
            " of=abort",
            " of=round",
            " of=end",
            " of=claim",
            " of=opening",
            " of=node",
            " of=fleet",
        ][pick(10) as usize];
        text += &match pick(21) {
            0 => format!(
                "at {at} close-looks aborts=0.{} for={}\n",
                pick(4),
                span * 3
            ),
            1 => format!(
                "at {at} crash n{n} for={soon} times=5 every={}\nat {} crash n{other} for={soon} times=5 every=13\n",
                9 + pick(6),
                at + 4
            ),
            2 => format!(
                "at {at} late-writes share=0.{} at_once=yes{of} for={}\n",
                2 + pick(8),
                span * 2
            ),
            3 => format!(
                "at {at} refuse n{n} for={span}\nat {} outage state for={}\n",
                at + span,
                30 + pick(40)
            ),
            4 => format!(
                "at {at} cut n{n} state mode={mode} for={span}\nat {at} cut n{n} nodes mode={mode} for={span}\nat {} cancel-now count=6\n",
                at + pick(span)
            ),
            5 => format!(
                "at {at} cancel-now count=6\nat {at}.1 refuse n{n} for={span}\nat {} outage state for={}\n",
                at + 1,
                30 + pick(40)
            ),
            6 => format!(
                "at {at} mute i-{m:06} count={} for={}\nat {} crash n{n} for={soon}\n",
                1 + pick(8),
                span * 2,
                at + pick(span)
            ),
            7 => format!(
                "at {at} cut nodes machines mode=slow for={span}\nat {at} submit req-000200 pieces=60 cores=4 run=20 urgency=low lane=idle times=3 every=2\n"
            ),
            8 => format!("at {at} take i-{m:06} count=6 notice={}\n", pick(4)),
            9 => format!("at {at} crash nodes for={}\n", 16 + pick(12)),
            10 => format!(
                "at {at} cancel-at-end share=0.{} for={}\n",
                3 + pick(7),
                span * 3
            ),
            11 => format!(
                "at {at} crash n{n} for={soon}\nat {} crash nodes for={soon}\nat {} cancel-now count=4\n",
                at + 3,
                at + 3 + pick(5)
            ),
            12 => format!(
                "at {at} cut i-{m:06} nodes mode={mode} for={span}\nat {} crash n{n} for={soon}\nat {} cancel-now count=5 hang={}\n",
                at + 2,
                at + 1 + pick(4),
                5 + pick(9)
            ),
            13 => format!(
                "at {at} late-reports share=0.{} to={} for={span}\nat {} crash n{n} for={soon}\nat {} crash n{other} for={soon}\n",
                2 + pick(7),
                ["next", "all"][pick(2) as usize],
                at + span - 2,
                at + span + 9
            ),
            14 => format!(
                "at {at} boots factor=0.3 for={}\nat {at} take i-000001 count=10\nat {at} late-writes share=0.{} for={span}\nat {} crash n{n} for={soon}\n",
                span * 2,
                2 + pick(5),
                at + 3 + pick(4)
            ),
            15 => format!("at {at} cut zone-a outside mode={mode} for={}\n", 8 + span),
            16 => format!(
                "at {at} submit req-000300 pieces=1 cores=1 run=3 lane=small times=200 every=0.25\nat {at}.3 abort req-000300 times=50 every=1 stride=4\n"
            ),
            17 => format!("at {at} odd-requests for={}\n", span * 3),
            18 => format!(
                "at {at} cut nodes machines mode=late-commands for={span}\nat {} hang i-{m:06} for={}\nat {} cancel-now count=5\n",
                at + pick(span),
                4 + pick(12),
                at + pick(span)
            ),
            19 => format!(
                "at {at} late-writes share=0.{} for={}\n",
                1 + pick(5),
                span * 2
            ),
            _ => format!(
                "at {at} deaf i-{m:06} count={} for={}\nat {} hang n{n} for={}\nat {} cancel-now count=5 hang=8\n",
                1 + pick(6),
                span * 2,
                at + 2,
                3 + pick(12),
                at + 3
            ),
        };
    }
    text += "expect all-done\n";
    text
}

/// Scenarios with gangs have seeds above this one.
pub const GANG_SEEDS_FROM: u64 = 100_000;

/// Time within which gangs and large tasks must start, in seconds: the users' requirement for the largest jobs of a class.
const MAX_GANG_START_DELAY_S: u64 = 240;

/// A scenario in which small jobs take most of the room during the whole run, with gangs, tasks that need most of a machine,
/// and up to two faults.
fn with_gangs(seed: u64) -> Script {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pick = |n: u64| rng.random_range(0..n);
    let machines = 8 + pick(5);
    // Eight tasks of ten seconds each: they use so much of the room that no machine is ever empty, yet small jobs do not queue.
    let load = [0.7, 0.8, 0.9][pick(3) as usize];
    let interval = 10.0 / (machines as f64 * load);
    let mut text = format!(
        "seed {seed}\nnodes {}\nend 420\nlease 15\nreport {}\ncancel 40\nteam red cores=16\n\
         type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=0 spot={machines}\n\
         at 2 submit req-001001 pieces=8 cores=1 run=10 lane=small times={} every={interval:.3}\n",
        3 + 2 * pick(2),
        [1.0, 2.5][pick(2) as usize],
        (400.0 / interval) as u64,
    );
    for job in 1..=2 + pick(2) {
        let at = 20 + pick(90);
        let kind = [
            "shape=group",
            "shape=group",
            "shape=group due=60",
            "pieces=1",
        ][pick(4) as usize];
        let tasks = if kind == "pieces=1" {
            String::new()
        } else {
            format!(" pieces={}", 2 + pick(machines - 2))
        };
        text += &format!(
            "at {at} submit req-{job:06}{tasks} {kind} cores={} run={} lane=set team={} urgency={}\n\
             expect starts-by req-{job:06} at={}\n",
            5 + pick(4),
            5 + pick(15),
            ["red", "free"][pick(2) as usize],
            ["standard", "low"][pick(2) as usize],
            at + MAX_GANG_START_DELAY_S,
        );
    }
    for _ in 0..pick(3) {
        let (at, node) = (40 + pick(110), pick(3));
        text += &match pick(6) {
            0 => format!("at {at} crash n{node} for={}\n", 2 + pick(6)),
            1 => format!("at {at} crash nodes for={}\n", 1 + pick(3)),
            2 => format!("at {at} cut n{node} state mode=drop for={}\n", 5 + pick(20)),
            3 => format!("at {at} cut n{node} nodes mode=drop for={}\n", 5 + pick(20)),
            4 => format!("at {at} late-writes share=0.2 for={}\n", 5 + pick(15)),
            _ => format!("at {at} take i-{:06} count=2 notice=6\n", 1 + pick(6)),
        };
    }
    parse(&text)
}

/// The scenario of a seed: jobs of all kinds, and faults that overlap.
pub fn generate(seed: u64) -> Script {
    if seed > GANG_SEEDS_FROM {
        return with_gangs(seed);
    }
    if seed > LATE_COPIES_SEEDS_FROM {
        return with_late_copies(seed);
    }
    if seed > 6000 {
        return parse(&all_fault_combinations(seed));
    }
    if seed > 5000 {
        return with_fault_combinations(seed);
    }
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    let mut text = format!(
        "seed {seed}\nend 420\nteam red cores=8 most=16\nteam blue cores=12 most=40\n\
         type small cores=8 mem=32 boot=4 price=1 spot_price=0.4 count=5 spot=6 stuck=0.05 zones=a,b\n\
         type large cores=32 mem=96 boot=8 price=3.6 spot_price=1.4 count=2 spot=2\n"
    );
    let mut pick = |n: u64| rng.random_range(0..n);
    for job in 1..=12 {
        let at = 1 + pick(120);
        let team = ["red", "blue", "free"][pick(3) as usize];
        let priority = ["high", "standard", "low"][pick(3) as usize];
        let job_class = if priority == "high" { "urgent" } else { "lane" };
        let extra = [
            "",
            " apart=yes",
            " one_zone=yes",
            " spot=no",
            " bookmark=3 stash=2",
        ][pick(5) as usize];
        text += &format!(
            "at {at} submit req-{job:06} pieces={} cores={} run={} team={team} urgency={priority} lane={job_class} image=i{} due={}{extra}\n",
            1 + pick(16),
            1 + pick(4),
            2 + pick(25),
            pick(4),
            20 + pick(200),
        );
        if pick(4) == 0 {
            text += &format!("at {} abort req-{job:06}\n", at + pick(40));
        }
    }
    for _ in 0..7 {
        let at = 5 + pick(140);
        let (node, span) = (pick(3), 2 + pick(38));
        let machine = 1 + pick(10);
        let mode = ["drop", "hold", "repeat", "deaf", "late-commands", "slow"][pick(6) as usize];
        text += &match pick(11) {
            0 => format!("at {at} crash n{node} for={}\n", 2 + pick(12)),
            1 => format!("at {at} crash nodes for={}\n", 2 + pick(10)),
            2 => format!("at {at} cut n{node} state mode={mode} for={span}\n"),
            3 => format!("at {at} cut n{node} machines mode={mode} for={span}\n"),
            4 => format!(
                "at {at} cut n{node} nodes mode={mode} for={span}\nat {at} cut n{node} state mode=hold for={span}\n"
            ),
            5 => format!("at {at} cut i-{machine:06} nodes mode={mode} for={span}\n"),
            6 => format!("at {at} hang i-{machine:06} for={}\n", 5 + pick(9)),
            7 => format!("at {at} hang n{node} for={}\n", 2 + pick(14)),
            8 => format!("at {at} outage state for={span}\n"),
            9 => format!("at {at} refuse n{node} for={span}\n"),
            _ => format!("at {at} take i-{machine:06} notice={}\n", pick(8)),
        };
    }
    if seed > 4000 {
        // Scenarios of these seeds have zones that fail and come back, fast restarts, and controllers that hang.
        text += "zones a,b,c\nreport 2\nlease 16\ncancel 40\nbody_kb 64\n";
        for _ in 0..4 {
            let (at, zone, span) = (10 + pick(170), ["a", "b"][pick(2) as usize], 3 + pick(34));
            let mode = ["drop", "hold", "repeat", "slow"][pick(4) as usize];
            text += &match pick(4) {
                0 => format!("at {at} die zone-{zone} for={span}\n"),
                1 => format!(
                    "at {at} crash n{} for=0.{} times={} every=1.7\n",
                    pick(3),
                    1 + pick(9),
                    2 + pick(8)
                ),
                2 => format!("at {at} hang n{} for={span}\n", pick(3)),
                _ => format!("at {at} cut zone-{zone} outside mode={mode} for={span}\n"),
            };
        }
    } else if seed > 3000 {
        // Scenarios of these seeds have placement rules, which change in a rolling restart.
        text += &format!("{RULES}with one\ngrace 50\n");
        for job in 300..340 {
            let job_class = ["renders", "masters", "watermark", "plain"][pick(4) as usize];
            let own = ["", "", "", " rules=cores", " rules=alone"][pick(5) as usize];
            let shape = ["", "", "", " shape=group", " one_zone=yes"][pick(5) as usize];
            text += &format!(
                "at {} submit req-{job:06} lane={job_class} pieces={} cores={} run={} urgency={} team={}{own}{shape}\n",
                6 + (job - 300) * 4 + pick(4),
                1 + pick(6),
                1 + pick(3),
                1 + pick(9),
                ["high", "standard", "low"][pick(3) as usize],
                ["red", "blue", "free"][pick(3) as usize],
            );
        }
        let mut at = 20 + pick(40);
        for (to, order) in [
            ("two", [0, 1, 2]),
            (["one", "none"][pick(2) as usize], [2, 0, 1]),
        ] {
            for n in order {
                text += &format!("at {at} rules n{n} {to} for={}\n", 1 + pick(5));
                at += 2 + pick(20);
            }
            at += 60;
        }
    } else if seed > 2000 {
        // Scenarios of these seeds have an upgrade, jobs with dependencies, and limits that become lower.
        text += "old\nnext value_kb=2 txn_ops=4 changes=25\n";
        let mut last = 5 + pick(20);
        let order = [[0, 1, 2], [2, 0, 1], [1, 2, 0]][pick(3) as usize];
        for n in order {
            text += &format!("at {last} upgrade n{n} for={}\n", 1 + pick(6));
            last += 2 + pick(25);
        }
        text += &format!("at {} limits\n", last + pick(30));
        for job in 200..230 {
            let at = 15 + (job - 200) * 5 + pick(4);
            let mut names = Vec::new();
            for _ in 0..pick(4) {
                // Dependencies include jobs of the other kinds, and sometimes a job that is never submitted.
                names.push(if pick(4) == 0 {
                    format!("req-{:06}", 1 + pick(13))
                } else {
                    format!("req-{:06}", 200 + pick(job - 199))
                });
            }
            let dependencies = if names.is_empty() {
                String::new()
            } else {
                format!(" awaits={}", names.join(","))
            };
            text += &format!(
                "at {at} submit req-{job:06} pieces={} cores=1 run={} urgency={} team={}{dependencies}\n",
                1 + pick(7),
                1 + pick(9),
                ["high", "standard", "low"][pick(3) as usize],
                ["red", "blue", "free"][pick(3) as usize],
            );
            if pick(7) == 0 {
                text += &format!("at {} abort req-{job:06}\n", at + pick(50));
            }
        }
    } else if seed > 1000 {
        // Scenarios of these seeds have operational problems as well: slow boots, polls, resets, failing and tiny tasks, changed
        // team limits.
        text += &format!(
            "at {} boots factor={} for={}\n",
            pick(60),
            [0.02, 0.3, 5.0][pick(3) as usize],
            20 + pick(60)
        );
        let (at, span) = (5 + pick(140), 5 + pick(40));
        text += &format!(
            "at {at} polls req-000001 count={} rate={} for={span}\n",
            12 + pick(40),
            5 + pick(40)
        );
        text += &format!(
            "at {} cut n{} machines mode=reset for={}\n",
            10 + pick(120),
            pick(3),
            5 + pick(40)
        );
        for job in 90..92 {
            let at = 1 + pick(100);
            text += &format!(
                "at {at} submit req-{job:06} pieces={} cores={} run=5 team=free lane=urgent urgency=high fails=yes\n",
                1 + pick(9),
                1 + pick(4)
            );
            text += &format!("at {} abort req-{job:06}\n", at + 20 + pick(120));
        }
        text += &format!(
            "at {} submit req-000093 pieces={} cores=0.25 run=2 mem=0.1 urgency=low team=free\n",
            1 + pick(100),
            100 + pick(400)
        );
        text += &format!(
            "at {} submit req-000100 pieces=1 cores=0.5 run=1 urgency=low team=late times=40 every=0.5\n",
            60 + pick(60)
        );
        text += &format!(
            "at {} team late most=3\nat {} crash n0 for=2\n",
            20 + pick(20),
            41 + pick(5)
        );
        text += &format!(
            "at {} crash n1 for=2\nat {} crash n2 for=3\n",
            47 + pick(5),
            52 + pick(5)
        );
    }
    text += "expect all-done\n";
    parse(&text)
}
