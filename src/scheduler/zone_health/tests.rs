//! Tests of `zone_health`.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const HEARTBEAT_INTERVAL: Micros = Micros::secs(8);

fn heartbeats(machines: usize) -> ZoneEvidence {
    ZoneEvidence {
        machines,
        other_zones_connected: true,
        ..ZoneEvidence::default()
    }
}

fn reconnected(machines: usize, reconnected: usize) -> ZoneEvidence {
    ZoneEvidence {
        reconnected,
        ..heartbeats(machines)
    }
}

fn silent(machines: usize, unanswered: usize) -> ZoneEvidence {
    ZoneEvidence {
        time_since_heartbeat: Micros::secs(30),
        unresponsive_machines: unanswered,
        ..heartbeats(machines)
    }
}

fn lose_zone(zone: &mut ZoneHealth, at: u64) {
    zone.apply_evidence(Micros::secs(at), HEARTBEAT_INTERVAL, &silent(200, 0));
    assert_eq!(
        zone.apply_evidence(Micros::secs(at + 3), HEARTBEAT_INTERVAL, &silent(200, 3)),
        Some(ZoneState::Lost)
    );
}

#[test]
fn zone_is_lost_after_silence_and_unanswered_probes() {
    let mut zone = ZoneHealth::default();
    assert_eq!(
        zone.apply_evidence(Micros::secs(1), HEARTBEAT_INTERVAL, &heartbeats(200)),
        None
    );
    // Neither silence of all zones nor of a single machine is conclusive.
    let disconnected = ZoneEvidence {
        other_zones_connected: false,
        ..silent(200, 3)
    };
    assert_eq!(
        zone.apply_evidence(Micros::secs(2), HEARTBEAT_INTERVAL, &disconnected),
        None
    );
    assert_eq!(
        zone.apply_evidence(Micros::secs(3), HEARTBEAT_INTERVAL, &silent(1, 1)),
        None
    );
    assert_eq!(
        zone.apply_evidence(Micros::secs(4), HEARTBEAT_INTERVAL, &silent(200, 0)),
        Some(ZoneState::Suspected)
    );
    assert!(zone.may_be_lost() && zone.accepting_percent(Micros::secs(4)) == 100);
    assert_eq!(
        zone.apply_evidence(Micros::secs(5), HEARTBEAT_INTERVAL, &silent(200, 2)),
        None
    );
    // One heartbeat ends the suspicion.
    assert_eq!(
        zone.apply_evidence(Micros::secs(6), HEARTBEAT_INTERVAL, &heartbeats(200)),
        Some(ZoneState::Healthy)
    );
    lose_zone(&mut zone, 10);
    assert_eq!(
        zone.apply_evidence(Micros::secs(14), HEARTBEAT_INTERVAL, &reconnected(200, 1)),
        None
    );
    assert_eq!(
        zone.apply_evidence(Micros::secs(15), HEARTBEAT_INTERVAL, &reconnected(200, 9)),
        Some(ZoneState::Recovering)
    );
}

/// Guards against a controller that considers a zone lost forever, and keeps its jobs off all machines there, because
/// its shards moved to other controllers while the zone was lost.
#[test]
fn lost_zone_recovers_if_the_controller_serves_no_machine_there() {
    let mut zone = ZoneHealth::default();
    lose_zone(&mut zone, 10);
    let none = ZoneEvidence {
        time_since_heartbeat: Micros::secs(500),
        ..heartbeats(0)
    };
    for at in [14, 30, 43] {
        assert_eq!(
            zone.apply_evidence(Micros::secs(at), HEARTBEAT_INTERVAL, &none),
            None
        );
        assert_eq!(zone.accepting_percent(Micros::secs(at)), 0);
    }
    assert_eq!(
        zone.apply_evidence(Micros::secs(44), HEARTBEAT_INTERVAL, &none),
        Some(ZoneState::Recovering)
    );
    assert_eq!(
        zone.apply_evidence(Micros::secs(65), HEARTBEAT_INTERVAL, &none),
        Some(ZoneState::Healthy)
    );
}

#[test]
fn each_loss_doubles_the_recovery_until_earlier_losses_expire() {
    let mut zone = ZoneHealth::default();
    let mut at = 1_000;
    for recovery_s in [20, 40, 80, 160, 160] {
        lose_zone(&mut zone, at);
        at += 10;
        zone.apply_evidence(Micros::secs(at), HEARTBEAT_INTERVAL, &reconnected(200, 9));
        assert_eq!(zone.accepting_percent(Micros::secs(at)), 10, "{recovery_s}");
        assert!(
            (50..60).contains(&zone.accepting_percent(Micros::secs(at + recovery_s / 2))),
            "{recovery_s}"
        );
        assert_eq!(
            zone.apply_evidence(
                Micros::secs(at + recovery_s),
                HEARTBEAT_INTERVAL,
                &heartbeats(200)
            ),
            None
        );
        assert_eq!(
            zone.apply_evidence(
                Micros::secs(at + recovery_s + 1),
                HEARTBEAT_INTERVAL,
                &heartbeats(200)
            ),
            Some(ZoneState::Healthy)
        );
        at += recovery_s + 10;
    }
    lose_zone(&mut zone, at + 700);
    zone.apply_evidence(
        Micros::secs(at + 710),
        HEARTBEAT_INTERVAL,
        &reconnected(200, 9),
    );
    assert_eq!(
        zone.apply_evidence(Micros::secs(at + 731), HEARTBEAT_INTERVAL, &heartbeats(200)),
        Some(ZoneState::Healthy)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// For any evidence, a zone is lost only after it was suspected and while other zones send heartbeats, and the share
    /// never falls during a recovery.
    #[test]
    fn zone_is_lost_only_after_suspicion(
        observations in prop::collection::vec((0..5u64, 0..60u64, 0..6usize, 0..6usize, 0..9usize, any::<bool>()), 1..60),
    ) {
        let (mut zone, mut now) = (ZoneHealth::default(), Micros::ZERO);
        for (step, quiet, machines, unanswered, reconnected, other_zones_connected) in observations {
            let (before, share) = (zone.state(), zone.accepting_percent(now));
            now += Micros::secs(step);
            let evidence = ZoneEvidence { machines, time_since_heartbeat: Micros::secs(quiet), unresponsive_machines: unanswered, reconnected, other_zones_connected };
            let after = zone.apply_evidence(now, HEARTBEAT_INTERVAL, &evidence);
            if after == Some(ZoneState::Lost) {
                prop_assert!(before == ZoneState::Suspected && other_zones_connected && unanswered > 0);
            }
            if before == ZoneState::Recovering && after.is_none() {
                prop_assert!(zone.accepting_percent(now) >= share);
            }
            let accepting = (0..1_000).filter(|machine| zone.accepts_tasks(*machine, now)).count() as u64;
            prop_assert!(accepting.abs_diff(zone.accepting_percent(now) * 10) < 60, "{accepting} of {}", zone.accepting_percent(now));
        }
    }
}
