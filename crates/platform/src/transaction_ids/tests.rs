use super::*;

#[test]
fn id_is_free_again_unless_its_invocation_may_have_run() {
    let ids = TransactionIds::new(10);
    let open = ids.open(1).unwrap();
    assert_eq!(ids.open(1).err(), Some(UsedId::Open));
    drop(open);
    let again = ids.open(1).unwrap();
    again.set_may_have_run();
    drop(again);
    assert_eq!(ids.open(1).err(), Some(UsedId::MayHaveRun));
    assert_eq!((ids.open_count(), ids.refused()), (0, 2));
}

#[test]
fn oldest_ids_are_forgotten_at_the_bound() {
    let ids = TransactionIds::new(10);
    for id in 0..25 {
        ids.open(id).unwrap().set_may_have_run();
    }
    assert_eq!((ids.recent_count(), ids.forgotten()), (10, 15));
    assert!(ids.open(14).is_ok());
    assert_eq!(ids.open(15).err(), Some(UsedId::MayHaveRun));
}
