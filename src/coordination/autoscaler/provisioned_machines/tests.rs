//! Tests of the backoff for offers without capacity, and of what lists show about machines.

use super::*;

fn offer() -> MachineOffer {
    MachineOffer {
        machine_type: "g8".to_owned(),
        zone: "a".to_owned(),
        spot: true,
    }
}

#[test]
fn pause_grows_with_each_refusal_up_to_maximum() {
    let mut exhausted = ExhaustedOffers::default();
    let now = Micros::secs(100);
    let pauses: Vec<Micros> = (0..7).map(|_| exhausted.on_refused(offer(), now)).collect();
    assert_eq!(pauses, [3, 6, 9, 12, 15, 15, 15].map(Micros::secs));
    assert!(!exhausted.may_be_requested(&offer(), Micros::secs(114)));
    assert!(exhausted.may_be_requested(&offer(), Micros::secs(115)));
}

#[test]
fn fulfilled_request_ends_pause() {
    let mut exhausted = ExhaustedOffers::default();
    let now = Micros::secs(100);
    exhausted.on_partly_fulfilled(offer(), now);
    assert!(!exhausted.may_be_requested(&offer(), now));
    exhausted.on_fulfilled(&offer());
    assert!(exhausted.may_be_requested(&offer(), now));
}

#[test]
fn machine_is_missing_since_first_list_without_it() {
    let mut machine = ProvisionedMachine::new(offer(), Micros::secs(100));
    assert!(machine.is_missing_since(Micros::secs(100)));
    machine.on_listed(CloudMachineState::Running, Micros::secs(104));
    assert!(!machine.is_missing_since(Micros::secs(104)));
    assert!(machine.is_missing_since(Micros::secs(108)));
    assert_eq!(machine.last_known_at(), Micros::secs(104));
}

#[test]
fn stall_does_not_count_toward_age_of_booting_machine() {
    let mut machine = ProvisionedMachine::new(offer(), Micros::secs(100));
    machine.on_stall(Micros::secs(30));
    assert!(!machine.is_booting());
    assert_eq!(machine.age(Micros::secs(140)), Micros::secs(10));
}
