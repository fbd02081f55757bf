#!/usr/bin/env bash
# Generates platform/days: for each kind of disruption a simulated day on which
# it occurs twice, without other disruptions. Each line of the list below has the
# day's name, the key for its entries ("plan" for planned work, else "faults"),
# and the fields of an entry.
set -euo pipefail
cd "$(dirname "$0")/../platform/days"
rm -f ./*.toml
while IFS='|' read -r name slot fields; do
  name=${name// /}; slot=${slot// /}
  [ -n "$name" ] || continue
  {
    echo "# Written by scripts/days.sh."
    echo "name = \"$name\""
    echo "seed = 11"
    echo "$slot = ["
    echo "  { at = 6.0,$fields },"
    echo "  { at = 17.0,$fields },"
    echo "]"
  } > "$name.toml"
done <<'LIST'
burst                | faults | kind = "burst", x = 1.8, for_s = 6.0
retry_abuse          | faults | kind = "retry_abuse", share = 0.4, x = 4.0, for_s = 6.0
give_up              | faults | kind = "give_up", share = 0.3, x = 300.0, for_s = 6.0
crash_dark           | faults | kind = "srv_crash", share = 0.2, how = "dark", for_s = 5.0
crash_gone           | faults | kind = "srv_crash", share = 0.15, how = "gone", for_s = 5.0
crash_joined         | faults | kind = "srv_crash", share = 0.3, how = "joined", for_s = 5.0
grey_errors          | faults | kind = "srv_grey", share = 0.2, x = 0.5, how = "errors", for_s = 6.0
grey_shed            | faults | kind = "srv_grey", share = 0.2, x = 0.5, how = "shed", for_s = 6.0
grey_hang            | faults | kind = "srv_grey", share = 0.2, x = 0.5, how = "hang", for_s = 6.0
grey_reset           | faults | kind = "srv_grey", share = 0.2, x = 0.5, how = "reset", for_s = 6.0
grey_mute            | faults | kind = "srv_grey", share = 0.2, x = 0.5, how = "mute", for_s = 6.0
grey_slow            | faults | kind = "srv_grey", share = 0.2, x = 8.0, how = "slow", for_s = 6.0
grey_one_zone        | faults | kind = "srv_grey", share = 0.3, x = 0.5, how = "errors one_zone", for_s = 6.0
srv_slow             | faults | kind = "srv_slow", share = 0.2, x = 4.0, for_s = 6.0
srv_cut              | faults | kind = "srv_cut", share = 0.2, for_s = 6.0
srv_cut_some         | faults | kind = "srv_cut", share = 0.3, how = "some", for_s = 6.0
srv_cut_one_way      | faults | kind = "srv_cut", share = 0.2, how = "one_way", for_s = 6.0
release              | plan   | kind = "release", share = 0.4, x = 1.0, gap_s = 1.0
scale_in             | plan   | kind = "scale_in", share = 0.15
scale_in_spot        | faults | kind = "scale_in", share = 0.15, how = "spot", x = 2.0
scale_out            | plan   | kind = "scale_out", share = 0.3
reuse                | faults | kind = "replace_with_reuse", share = 0.15
reuse_dark           | faults | kind = "replace_with_reuse", share = 0.15, how = "dark"
answer_lost          | faults | kind = "answer_lost", share = 0.5, x = 0.05, for_s = 6.0
answer_lost_reset    | faults | kind = "answer_lost", share = 0.5, x = 0.05, how = "reset", for_s = 6.0
garble               | faults | kind = "garble", share = 0.5, x = 0.05, for_s = 6.0
garble_extra         | faults | kind = "garble", share = 0.6, x = 0.05, how = "extra", for_s = 6.0
garble_extra_late    | faults | kind = "garble", share = 0.6, x = 0.05, how = "extra late", for_s = 6.0
garble_unframed      | faults | kind = "garble", share = 0.5, x = 0.1, how = "unframed", for_s = 6.0
garble_early         | faults | kind = "garble", share = 0.5, x = 0.1, how = "early", for_s = 6.0
garble_rot           | faults | kind = "garble", share = 0.5, x = 0.1, how = "rot", for_s = 6.0
node_kill            | faults | kind = "node_kill", share = 0.3
node_kill_leader     | faults | kind = "node_kill", on = "core", count = 1, how = "leader"
node_power           | faults | kind = "node_kill", share = 0.3, how = "power", for_s = 4.0
node_freeze          | faults | kind = "node_freeze", share = 0.3, for_s = 4.0
node_freeze_leader   | faults | kind = "node_freeze", on = "core", count = 1, how = "leader", for_s = 5.0
node_freeze_renewed  | faults | kind = "node_freeze", on = "core", count = 1, how = "renewed", for_s = 5.0
node_slow            | faults | kind = "node_slow", share = 0.3, x = 5.0, for_s = 6.0
roll_term            | plan   | kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0
roll_term_busy       | plan   | kind = "roll_term", share = 0.6, how = "busy", gap_s = 1.0
roll_term_remove     | plan   | kind = "roll_term", share = 0.2, how = "remove", gap_s = 1.0
herd_kill            | faults | kind = "herd_kill", share = 0.7
herd_kill_core       | faults | kind = "herd_kill", on = "core", how = "off", for_s = 3.0
add_nodes            | plan   | kind = "add_nodes", share = 0.5
replace_core         | faults | kind = "replace_core", x = 2.0
replace_planned      | plan   | kind = "replace_core", how = "planned", x = 2.0
after_ack_kill       | faults | kind = "after_ack_kill", for_s = 3.0
after_ack_timed      | faults | kind = "after_ack_kill", how = "timed", for_s = 3.0
clock_ahead          | faults | kind = "clock_step", share = 0.5, x = 5000.0, how = "ahead", for_s = 6.0
clock_back           | faults | kind = "clock_step", share = 0.5, x = 5000.0, how = "back", for_s = 6.0
hup                  | plan   | kind = "hup", share = 1.0, gap_s = 1.0
core_cut             | faults | kind = "core_cut", count = 1, for_s = 6.0
core_cut_leader      | faults | kind = "core_cut", count = 1, how = "leader", for_s = 6.0
core_cut_all         | faults | kind = "core_cut", count = 1, how = "all", for_s = 6.0
core_cut_reset       | faults | kind = "core_cut", count = 1, how = "reset", for_s = 6.0
node_cut             | faults | kind = "node_cut", share = 0.3, for_s = 6.0
node_cut_all         | faults | kind = "node_cut", share = 0.3, how = "all", for_s = 6.0
node_cut_servers     | faults | kind = "node_cut", share = 0.3, how = "servers", for_s = 6.0
lossy                | faults | kind = "lossy", x = 0.03, for_s = 6.0
reset_conns          | faults | kind = "reset_conns", share = 0.5, x = 0.7
store_silent         | faults | kind = "platform_down", how = "silent", for_s = 5.0
store_busy           | faults | kind = "platform_down", how = "busy", for_s = 5.0
store_reset          | faults | kind = "platform_down", how = "reset", for_s = 5.0
store_lapse          | faults | kind = "platform_down", how = "silent lapse", for_s = 6.0
store_nodes_busy     | faults | kind = "platform_down", how = "nodes busy", share = 0.4, for_s = 8.0
store_nodes_silent   | faults | kind = "platform_down", how = "nodes silent meet", share = 0.4, for_s = 8.0
store_nodes_revoke   | faults | kind = "platform_down", how = "nodes reset revoke meet", share = 0.4, for_s = 8.0
store_slow           | faults | kind = "platform_slow", x = 60.0, for_s = 5.0
store_lost           | faults | kind = "platform_lost", x = 0.4, for_s = 5.0
store_lost_late      | faults | kind = "platform_lost", x = 0.4, how = "late", for_s = 5.0
store_compact        | faults | kind = "platform_compact", x = 5.0, for_s = 8.0
store_compact_drain  | faults | kind = "platform_compact", x = 5.0, how = "drain", for_s = 8.0
config_route         | plan   | kind = "config_change", how = "route"
config_weights       | plan   | kind = "config_change", how = "weights"
config_timeout       | plan   | kind = "config_change", how = "timeout"
config_storm         | plan   | kind = "config_storm", for_s = 5.0, gap_s = 0.3
big_config           | plan   | kind = "big_config", count = 350
applied_late         | faults | kind = "applied_late", x = 0.6, how = "orders", for_s = 8.0
applied_late_all     | faults | kind = "applied_late", x = 0.6, how = "all", for_s = 8.0
kv_slow              | faults | kind = "kv_slow", share = 0.4, x = 8.0, for_s = 6.0
handle_short         | faults | kind = "handle_short", share = 0.5, for_s = 6.0
LIST
