//! Tests of `zone_health`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REPORT: Micros = Micros::secs(8);

fn heard(machines: usize) -> ZoneEvidence {
    ZoneEvidence {
        machines,
        other_zones_connected: true,
        ..ZoneEvidence::default()
    }
}

fn returned(machines: usize, reconnected: usize) -> ZoneEvidence {
    ZoneEvidence {
        reconnected,
        ..heard(machines)
    }
}

fn silent(machines: usize, unanswered: usize) -> ZoneEvidence {
    ZoneEvidence {
        quiet: Micros::secs(30),
        unanswered,
        ..heard(machines)
    }
}

fn lost(zone: &mut ZoneHealth, at: u64) {
    zone.note(Micros::secs(at), REPORT, &silent(200, 0));
    assert_eq!(
        zone.note(Micros::secs(at + 3), REPORT, &silent(200, 3)),
        Some(ZoneState::Lost)
    );
}

#[test]
fn zone_is_lost_after_silence_and_unanswered_probes() {
    let mut zone = ZoneHealth::default();
    assert_eq!(zone.note(Micros::secs(1), REPORT, &heard(200)), None);
    // Neither silence of all zones nor of a single machine is conclusive.
    let disconnected = ZoneEvidence {
        other_zones_connected: false,
        ..silent(200, 3)
    };
    assert_eq!(zone.note(Micros::secs(2), REPORT, &disconnected), None);
    assert_eq!(zone.note(Micros::secs(3), REPORT, &silent(1, 1)), None);
    assert_eq!(
        zone.note(Micros::secs(4), REPORT, &silent(200, 0)),
        Some(ZoneState::Suspected)
    );
    assert!(zone.is_suspected() && zone.share(Micros::secs(4)) == 100);
    assert_eq!(zone.note(Micros::secs(5), REPORT, &silent(200, 2)), None);
    // One heartbeat ends the suspicion.
    assert_eq!(
        zone.note(Micros::secs(6), REPORT, &heard(200)),
        Some(ZoneState::Healthy)
    );
    lost(&mut zone, 10);
    assert_eq!(zone.note(Micros::secs(14), REPORT, &returned(200, 1)), None);
    assert_eq!(
        zone.note(Micros::secs(15), REPORT, &returned(200, 9)),
        Some(ZoneState::Recovering)
    );
}

/// A controller whose shards moved to others while a zone was lost considered it lost for ever, and kept its jobs off all
/// machines there.
#[test]
fn lost_zone_recovers_if_the_controller_serves_no_machine_there() {
    let mut zone = ZoneHealth::default();
    lost(&mut zone, 10);
    let none = ZoneEvidence {
        quiet: Micros::secs(500),
        ..heard(0)
    };
    for at in [14, 30, 43] {
        assert_eq!(zone.note(Micros::secs(at), REPORT, &none), None);
        assert_eq!(zone.share(Micros::secs(at)), 0);
    }
    assert_eq!(
        zone.note(Micros::secs(44), REPORT, &none),
        Some(ZoneState::Recovering)
    );
    assert_eq!(
        zone.note(Micros::secs(65), REPORT, &none),
        Some(ZoneState::Healthy)
    );
}

#[test]
fn each_loss_doubles_the_recovery_until_it_is_forgotten() {
    let mut zone = ZoneHealth::default();
    let mut at = 1_000;
    for span in [20, 40, 80, 160, 160] {
        lost(&mut zone, at);
        at += 10;
        zone.note(Micros::secs(at), REPORT, &returned(200, 9));
        assert_eq!(zone.share(Micros::secs(at)), 10, "{span}");
        assert!(
            (50..60).contains(&zone.share(Micros::secs(at + span / 2))),
            "{span}"
        );
        assert_eq!(
            zone.note(Micros::secs(at + span), REPORT, &heard(200)),
            None
        );
        assert_eq!(
            zone.note(Micros::secs(at + span + 1), REPORT, &heard(200)),
            Some(ZoneState::Healthy)
        );
        at += span + 10;
    }
    lost(&mut zone, at + 700);
    zone.note(Micros::secs(at + 710), REPORT, &returned(200, 9));
    assert_eq!(
        zone.note(Micros::secs(at + 731), REPORT, &heard(200)),
        Some(ZoneState::Healthy)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the evidence: a zone is lost only after it was suspected and while other zones send heartbeats, and the
    /// share never falls during a recovery.
    #[test]
    fn zone_is_lost_only_after_suspicion(
        observations in prop::collection::vec((0..5u64, 0..60u64, 0..6usize, 0..6usize, 0..9usize, any::<bool>()), 1..60),
    ) {
        let (mut zone, mut now) = (ZoneHealth::default(), Micros::ZERO);
        for (step, quiet, machines, unanswered, reconnected, other_zones_connected) in observations {
            let (before, share) = (zone.state(), zone.share(now));
            now += Micros::secs(step);
            let evidence = ZoneEvidence { machines, quiet: Micros::secs(quiet), unanswered, reconnected, other_zones_connected };
            let after = zone.note(now, REPORT, &evidence);
            if after == Some(ZoneState::Lost) {
                prop_assert!(before == ZoneState::Suspected && other_zones_connected && unanswered > 0);
            }
            if before == ZoneState::Recovering && after.is_none() {
                prop_assert!(zone.share(now) >= share);
            }
            let accepting = (0..1_000).filter(|machine| zone.accepts_tasks(*machine, now)).count() as u64;
            prop_assert!(accepting.abs_diff(zone.share(now) * 10) < 60, "{accepting} of {}", zone.share(now));
        }
    }
}
