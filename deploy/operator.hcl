# The operator's own file, for `leverpoint serve --operator deploy/operator.hcl`. The platform's JSON has no word for
# what stands here. Every key may be absent: what is not said follows from the limits and the settings. Not named in
# `run`: on the users' platform all defaults hold. `leverpoint check --schema` prints what may be said.

slow {
  least_rate = "8KiB/s"
  grace      = "2s"
  stall      = "1s"
}

# Not followed on the users' platform: what passes through one process is all that it asks for.
sessions {
  follow = false
}

# No member of any fleet on the users' platform, which forbids talk among instances. Elsewhere:
#
# members {
#   listen   = "10.0.0.7:7432"
#   fleet    = "hall"
#   seeds    = ["10.0.0.8:7432", "10.0.0.9:7432"]
#   founders = ["n0", "n1", "n2"]
#   keys     = ["1:00112233445566778899aabbccddeeff"]
#   disk     = "/var/lib/leverpoint/member"
# }
#
# Nothing is copied on the users' platform, as it needs members. Elsewhere, with sessions { follow = true, number = "..." }:
#
# copies {
#   on     = true
#   copies = 3
# }
