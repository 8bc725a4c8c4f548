#!/usr/bin/env bash
# mutants.sh [REGEX]
# Mutation test: introduces one fault at a time into a copy of the committed tree and requires the tests of the changed library to fail. Each
# mutant breaks one mechanism of the kernels, the platform adapter or another library. REGEX, an extended regular expression, limits the run to the
# mutants whose names match it.
set -uo pipefail
cd "$(dirname "$0")/.."
name_pattern=${1:-.}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git archive HEAD | tar -x -C "$work"
cd "$work" || exit 1
# Warnings must not fail the build, since a mutant may leave a variable unused.
sed -i "s/ -Werror//" CMakeLists.txt
cmake -S . -B build -G Ninja >/dev/null
# Tests that fail without a mutant, too, would notice every one.
mapfile -t known_red < <(sed -nE 's/^test: [A-Za-z]+ TEST\([A-Za-z]+, ([A-Za-z]+)\)$/\1/p' KNOWN-RED.txt)
excluded=()
for name in "${known_red[@]}"; do excluded+=(-xsn "$name"); done
caught=0
# Exit codes from this one on mean that a signal ended the program.
min_signal_code=128
missed=0

# break_it TEST-PROGRAM NAME FILE SED-EXPRESSION: applies the expression to the file, runs the test program and reverts the file. If $group is set,
# no other test group runs.
break_it() {
    local program=$1 name=$2 file=$3 expression=$4
    grep -qE "$name_pattern" <<<"$name" || return 0
    cp "$file" "$work/original"
    sed -i "$expression" "$file"
    if cmp -s "$file" "$work/original"; then
        echo "$name: the mutation does not apply"
        missed=$((missed + 1))
        return
    fi
    if ! cmake --build build --target "$program" -- --quiet >"$work/log" 2>&1; then
        echo "$name: does not compile"
        tail -5 "$work/log"
        missed=$((missed + 1))
    elif timeout 240 "build/tests/$program" ${group:+-g "$group"} "${excluded[@]}" >"$work/log" 2>&1; then
        echo "$name: NOT noticed"
        missed=$((missed + 1))
    else
        local code=$?
        echo "$name: noticed by $(grep -o 'Failure in TEST([^)]*)' "$work/log" | sed 's/Failure in //' | sort -u | head -3 | tr '\n' ' ')$([ "$code" -ge "$min_signal_code" ] && echo 'a crash')"
        caught=$((caught + 1))
    fi
    cp "$work/original" "$file"
}

# mutant NAME FILE SED-EXPRESSION: a mutant of the kernel in trefoilport/.
mutant() {
    break_it trefoilportTests "$1" "trefoilport/src/$2" "$3"
}

# relay NAME FILE SED-EXPRESSION: a mutant of the kernel in libs/relay/.
relay() {
    break_it relayTests "relay-$1" "libs/relay/src/$2" "$3"
}

# fleet NAME FILE SED-EXPRESSION: a mutant of the kernel in libs/relay/ that the simulated fleets of the group AFleetUnderFaults must notice
# without the help of other tests.
fleet() {
    local group=AFleetUnderFaults
    break_it relayTests "fleet-$1" "libs/relay/src/$2" "$3"
}

mutant ambiguous-write-counts-as-granted ClaimLedger.cpp 's/case StoreStatus::Ambiguous:/case StoreStatus::Ambiguous: bucket.version = done.version; bucket.cached = bucket.proposed; bucket.cacheValid = wasWriting; finishWrite(bucket, actions); break; case StoreStatus::NotFound:/; s/^    case StoreStatus::NotFound:$//'
mutant foreign-claim-is-taken-over ClaimChanges.cpp 's/if (found->nonce != op.claim.nonce) {/if (false) {/'
mutant no-release ClaimLedger.cpp 's/    op.decided = !op.everWritten;/    op.decided = true;/'
mutant outcome-not-stored ServiceCalls.cpp 's/context_.ledger.complete(.*);/(void)now;/'
mutant broken-call-is-retried ServiceCalls.cpp 's/if (call->atMostOnce \&\& !provesNotRun(event.failure)) {/if (false) {/'
mutant position-is-not-checked PipelineCalls.cpp 's/event.position == call->delivered.size()/true/'
mutant stages-are-not-checked PipelineCalls.cpp 's/|| !agreesWithPlan(event.stages, call->plan)/|| false/'
mutant late-frames-are-taken PipelineCalls.cpp 's/    attempts_.erase(call.attempt);/    (void)0;/'
mutant no-replay PipelineCalls.cpp 's/    order.delivered = call.delivered;/    (void)0;/'
mutant end-is-not-checked PipelineCalls.cpp 's/const bool complete = event.tokens == .*;/const bool complete = true;/'
mutant no-stall-detection PipelineFailures.cpp 's/if (silence > timeout) {/if (silence > 1000 * timeout) {/; s/if (silence > timeout \/ 2/if (silence > 1000 * timeout/'
mutant no-quarantine Quarantine.cpp 's/    ++report.crashCount;/    report.crashCount = 0;/'
mutant strikes-are-not-spread Kernel.cpp 's/    if (gossip.crashNotices.empty()) {/    if (true) {/; s/context.quarantine.notices(now.mono, MaxCrashReportsPerGossip)/{}/'
mutant leaving-is-not-spread EndpointTable.cpp 's/        if (endpoint.leavingSeen \&\& endpoint.listed/        if (false \&\& endpoint.listed/'
mutant stale-head-reverts ConfigKeeper.cpp 's/if (seen.version < headVersion_ || seen.head->epoch < epoch_) {/if (false) {/; s/version.document.revision <= accepted_.document.revision || /version.document.revision == accepted_.document.revision || /'
mutant confirmed-for-ever ConfigKeeper.cpp 's/    return isConfirmedByStore(now) || isConfirmedByMembers(now);/    return true;/'
mutant minority-confirms ConfigKeeper.cpp 's/    return 2 \* (agreeing + static_cast<std::size_t>(gone)) > members_.size();/    return true;/'
mutant accepted-without-staging ConfigKeeper.cpp 's/ \&\& waitingFor().empty();/;/'
mutant no-majority-of-intents ConfigKeeper.cpp 's/if (!majorityHasIntent(head.epoch)) {/if (false) {/'
mutant unconfirmed-takes-work Kernel.cpp 's/if (!context.config.isConfirmed(now)) {/if (!context.config.inForce()) {/'
mutant exits-with-open-calls Kernel.cpp 's/    if (idle \&\& (context/    if ((context/'
mutant exits-with-open-claims Kernel.cpp 's/(context.ledger.isSettled() || timedOut)/true/'
mutant pause-is-held-against-others Membership.cpp 's/        if (wasPaused) {/        if (false) {/'
relay unsafe-is-sent-again Calls.cpp 's/RequestKind::AtMostOnce ? !call.mayHaveRun :/RequestKind::AtMostOnce ? true :/'
relay false-not-run Calls.cpp 's/saysNotRun \&\& mayHaveRun ?/saysNotRun \&\& call.mayHaveRun ?/'
relay runs-are-not-counted Calls.cpp 's/countedRuns(call) < call.route->maxAttempts;/true;/'
relay no-retry-window Calls.cpp 's/ \&\& retryIsPermitted(now, call));/);/'
relay damaged-answer-passes PlainCalls.cpp 's/    if (!head.verified) {/    if (false) {/'
relay gone-caller-keeps-its-run Calls.cpp 's/        driver.cancel(attempt);/        (void)attempt;/'
relay old-configuration-for-keys Admission.cpp 's/if (!configIsCurrent(now, maxConfigAgeForKeys())) {/if (false) {/'
relay old-configuration-proves Admission.cpp 's/const bool isConclusive = .*;/const bool isConclusive = true;/'
relay configuration-goes-back RelayKernel.cpp 's/config->version > impl.config->version/true/'
relay age-from-arrival StoreDuty.cpp 's/const Instant requestedAt = .*;/const Instant requestedAt = now;/'
relay older-configuration-is-kept-young StoreDuty.cpp 's/if (reply.configVersion == known.configVersion) {/if (true) {/'
relay draining-gets-work EndpointRegistry.cpp 's/ \&\& !state.entry.draining//'
relay gone-gets-work EndpointRegistry.cpp 's/state.listed = now < state.keepListedUntil;/state.listed = true;/'
relay lapsed-entry-is-gone EndpointRegistry.cpp 's/if (mayLackEntries \&\& /if (false \&\& /'
relay event-twice StreamCalls.cpp 's/if (eventId <= call.lastEvent \&\& call.lastEvent != 0) {/if (false) {/; s/    if (!isNext) {/    if (false) {/'
relay event-gap-passes StreamCalls.cpp 's/    if (!isNext) {/    if (false) {/'
relay resumes-from-the-start StreamCalls.cpp 's/    dispatch.lastEventId = call.lastEventId;/    (void)0;/'
relay silence-moves-nothing EndpointHealth.cpp 's/    moveStreams(now);/    (void)0;/'
relay silence-is-an-end Calls.cpp 's/(!state.listed \&\& isSilent(run.first))/isSilent(run.first)/'
relay reserve-is-given-to-each-process details/RetryWindow.h 's/ \&\& now > knownSince_ + window_//'
relay reserve-follows-the-view details/RetryWindow.h 's/instanceCounts_.front().instances : 0/instanceCounts_.back().instances : 0/'
relay listed-instances-do-not-count PeerLoads.cpp 's/std::max(\*known, routes_.listedInstances())/*known/'
relay report-ends-a-pause EndpointRegistry.cpp 's/^    state.heldUntil = Instant{0};/    state.refusals = {};/'
relay earlier-work-ends-refusals RefusalPause.cpp 's/if (sentAt <= refusedAt_) {/if (false) {/'
relay wish-of-an-endpoint-is-ignored RelayKernel.cpp 's/^        impl_->endpoints.backOff(.*;/        (void)0;/'
relay wish-ends-with-an-older-restart EndpointRegistry.cpp 's/ \&\& now >= state.backoffFrom + MaxListLag;/;/'
relay peers-are-believed EndpointHealth.cpp 's/    endpoints.hold(\*index, now, ReportHold);/    markSilent(now, *index, "", "");/'
relay no-slowness Candidates.cpp 's/                                 state.slowdown,/                                 1.0,/'
relay crash-is-forgotten CrashEvidence.cpp 's/^    suspicions.push_back(suspicion);/    (void)0;/'
relay crash-counts-for-each-request CrashEvidence.cpp 's/if (Suspicion \*known = find(signature, suspicion.crash, suspicion.inference)) {/if (Suspicion *known = nullptr) {/'
relay crash-explained-twice CrashEvidence.cpp 's/if (!explained.contains(crash)) {/if (true) {/'
relay prompt-parts-are-no-suspects Admission.cpp 's/^    signatures.insert(.*;/    (void)0;/'
relay refutations-stay-here Digests.cpp 's/^        digest.crashRefutations = news.refutations;/        (void)0;/'
relay refutations-are-not-taken CrashChecks.cpp 's/if (crashGuard.onRefutation(refutation, now)) {/if (false) {/'
relay refutations-are-taken-silently CrashChecks.cpp 's/"crash_refutation_taken"/"refutation"/'
relay convictions-are-told-once CrashGuard.cpp 's/if (now >= convictionsSentAt_ + RepeatPeriod) {/if (false) {/'
relay crash-news-end-at-aggregators CrashChecks.cpp 's/^        crashGuard.addNews(fresh);/        (void)0;/'
relay nothing-is-probed CrashGuard.cpp 's/return place < share;/return false;/'
relay probes-without-end CrashEvidence.cpp 's/            ++conviction.failedProbes;/            (void)0;/'
relay silence-stays-a-crash CrashGuard.cpp 's/            addRefutations(evidence_.refuteInference(.*));/            (void)0;/'
relay waiting-retry-is-not-judged StreamMoves.cpp 's/^        if (isBarred(call)) {/        if (false) {/'
relay answered-request-is-barred CrashGuard.cpp 's/^        acquit(signature);/        (void)0;/'
relay limit-is-taken-whole RequestLimits.cpp 's/return Utilization \* share_ \* limit.perSecond;/return limit.perSecond;/'
relay limit-is-not-kept Candidates.cpp 's/const bool canBeFirst = .*;/const bool canBeFirst = true;/'
relay limit-never-ends RequestLimits.cpp 's/return !isOvertaken \&\& !wasSilent \&\& take/return limit > 0 \&\& take/'
relay limits-stay-here Digests.cpp 's/^        digest.limits = .*;/        (void)0;/'
relay credit-is-saved-up RequestLimits.cpp 's/constexpr Ms MaxSavingTime{1000};/constexpr Ms MaxSavingTime{60000};/'
relay refused-at-once-again StreamCalls.cpp 's/call.refusals++ > 0/false/'
relay break-is-a-crash CrashGuard.cpp 's/if (!sign \&\& now < broken.brokenAt + ConfirmTimeout) {/if (false) {/; s/settled.push_back({broken.endpoint, sign, sign ? /settled.push_back({broken.endpoint, sign, true ? /; s/confirm(broken, \*sign, now)/confirm(broken, sign.value_or(CrashSign::Silent), now)/'
relay lease-outlives-a-pause PlannerDuty.cpp 's/    return now < validUntil_ \&\& /    return validUntil_.count() != 0 \&\& /'
relay same-fence-again PlannerDuty.cpp 's/epoch_.value_or(0) \* FencesPerEpoch}) + 1;/epoch_.value_or(0) * FencesPerEpoch});/'
relay refused-fence-goes-on PlannerDuty.cpp 's/refusedFence_ = std::max(refusedFence_, heldFence_);/(void)0;/; s/        validUntil_ = Instant{0};\r*$/        (void)0;/'
relay held-layers-are-ordered PlannerDuty.cpp 's/pendingOrder->second.range : state.entry.layers;/pendingOrder->second.range : placement::LayerRange{};/'
relay scarce-layers-are-left PlannerDuty.cpp 's/    if (!move \&\& layer) {/    if (!move \&\& layer \&\& false) {/'
relay silence-makes-layers-scarce PlannerDuty.cpp 's/constexpr Ms ScarcityPeriod{3000};/constexpr Ms ScarcityPeriod{0};/'
relay refused-connections-use-up-hand-overs HandOvers.cpp 's/const bool wasRefused = .*;/const bool wasRefused = false;/'
relay unanswered-connections-are-free HandOvers.cpp 's/ \&\& now < failed.begunAt + MaxRefusalTime;/;/'
relay hand-overs-try-a-whole-fleet HandOvers.cpp 's/ || call.unreachedPeers >= MaxUnreachedPeers;/;/'
relay stop-takes-streams Admission.cpp 's/if (stopping \&\& now - stopAt >= .*) {/if (false) {/'
relay stop-cuts-requests RelayKernel.cpp 's/const bool hasEnded = calls.empty() \&\& /const bool hasEnded = /'
relay stop-takes-what-outlasts-it Admission.cpp 's/return now + needed <= failAt || .*/return now < failAt + needed;/'
relay stop-has-one-grace-period StopSchedule.cpp 's|std::min(BalancerNotice, schedule.failAfter / AcceptDivisor)|BalancerNotice|'
relay stop-goes-on-accepting RelayKernel.cpp 's/        driver.stopAccepting();//'
relay stop-holds-callers-back Admission.cpp 's/kind == base::ErrorKind::Stopping ? stopRetryDelay(now) : //'
relay retry-on-a-kept-connection Calls.cpp 's/runsOnce(\*call.route) || call.attemptCount > 1;/runsOnce(*call.route);/'
relay limit-counts-what-was-not-sent Calls.cpp 's/reachedNothing && failed.isRetry/false/'
relay once-only-may-run-again Calls.cpp 's/return !call.mayHaveRun \&\& call.runs.empty() .*;/return countedRuns(call) == 0;/'
relay once-only-waits-for-nobody StreamMoves.cpp 's/const bool isOver = .*;/const bool isOver = false;/'
relay events-go-down details/OpenCalls.h 's/const bool isInOrder = .*;/const bool isInOrder = isRepeated || true;/'
relay event-is-sent-twice details/OpenCalls.h 's/last == eventId \&\& lastContent == content;/false;/'
relay new-run-is-joined details/OpenCalls.h 's/return resumedAfter > 0 \&\& .*;/return resumedAfter > 0 \&\& firstEvent == 0;/'
relay refusal-is-a-state RefusalPause.cpp 's/!(window_ ? share_.isHigh() : share_.isMost())/false/; s/ \&\& share_.isMost()//'
relay refusals-never-pause RefusalPause.cpp 's/if (halved < 1 \&\& share_.isMost()) {/if (false) {/'
relay refusal-gives-no-window RefusalPause.cpp 's/return !window_ || open < .*/return true;/'
relay refusal-window-never-grows RefusalPause.cpp 's/std::max(\*window_, static_cast<double>(open)) + 1)/*window_)/'
relay refusal-window-never-falls RefusalPause.cpp 's/    window_ = std::max(1.0, halved);/    window_ = window_.value_or(MaxWindow);/'
relay refusal-window-waits-for-ever RefusalPause.cpp 's/ || now >= sentAt_ + ProbePeriod;/;/'
relay refusals-of-one-burst-count-each RefusalPause.cpp 's/window_ \&\& sentAt <= refusedAt_;/false;/'
relay refusal-each-is-logged RelayKernel.cpp 's/const bool isKnown = .*/const bool isKnown = false;/'
relay refusal-proof-ends-nothing RefusalPause.cpp 's/^    pausedUntil_ = askedUntil_;/    (void)0;/'
relay refusal-proof-ends-a-wish RefusalPause.cpp 's/^    pausedUntil_ = askedUntil_;/    pausedUntil_ = Instant{0};/'
relay plain-stream-does-not-wait PlainCalls.cpp 's/if (hasEndpointLeft(call) \&\& waitsForEndpoints(now, call)) {/if (false) {/'
relay stream-waits-for-nothing PlainCalls.cpp 's/if (hasEndpointLeft(call) \&\& /if (/'
relay stop-cuts-answers RelayKernel.cpp 's/ \&\& driver.unfinishedExchanges() == 0;/;/'
relay plain-stream-begins-anew PlainCalls.cpp 's/    dispatch.lastEventId = call.lastEventId;/    (void)0;/'
relay events-of-any-answer StreamCalls.cpp 's/if (call == nullptr || call->route->kind != RequestKind::Stream) {/if (call == nullptr) {/'
relay detour-over-the-first-stage Detours.cpp 's/ || mustReplace(attempt.stages.front())//; s/attempt.stages\[first - 1\]/attempt.stages[first]/'
relay detour-takes-a-stage-twice Detours.cpp 's/replacements.holders\[i\].usable = .*;/replacements.holders[i].usable = true;/'
relay detour-keeps-the-stage-at-fault Detours.cpp 's/ || stage == fault;/;/'
relay detour-without-end Detours.cpp 's/constexpr int MaxDetours = 3;/constexpr int MaxDetours = 1000;/'
relay detour-leaves-its-load Calls.cpp 's/        --state.openRequests;/        (void)0;/'
relay older-list-is-taken EndpointList.cpp 's/if (version < version_) {/if (false) {/'
relay epoch-of-the-list-is-ignored EndpointList.cpp 's/if (version < version_) {/if (version.revision < version_.revision) {/'
relay changes-lead-to-another-epoch EndpointList.cpp 's/    if (version.epoch != version_.epoch) {/    if (false) {/'
relay older-configuration-confirms RelayKernel.cpp 's/    if (shown >= newest) {/    if (true) {/'
relay named-configuration-is-ignored StoreDuty.cpp 's/    return now < configNamedAt_ .*/    return 0;/'
relay restored-entry-undoes-leaving EndpointRegistry.cpp 's/    state.entry.draining = known.draining || entry.draining;/    (void)0;/'
relay restored-entry-is-used-at-once EndpointRegistry.cpp 's/        if (mayComeFromCopy) {/        if (false) {/'
relay leaving-answer-is-ignored RelayKernel.cpp 's/    if (head.leaving) {/    if (false) {/'
relay leaving-is-not-told PeerLoads.cpp 's/ \&\& state.entry.draining \&\& !state.listedAsDraining) {/ \&\& false) {/'
relay lost-lease-is-free PlannerDuty.cpp 's/const bool hasOldLeaseEnded = .*;/const bool hasOldLeaseEnded = true;/'
relay fences-go-back PlannerDuty.cpp 's/, epoch_.value_or(0) \* FencesPerEpoch}/}/'
relay renewal-of-another-epoch-counts PlannerDuty.cpp 's/ || version.epoch != writtenEpoch_//'
relay removal-is-not-told EndpointList.cpp 's/if (!changes.isComplete \&\& removed.removedAt > version.revision) {/if (false) {/'
relay changes-of-before-are-guessed EndpointList.cpp 's/ || version.revision < knownSince_;/;/'
relay older-list-is-news StoreDuty.cpp 's/ || digest.endpointsVersion <= known.endpointsVersion//'
relay untold-changes-are-forgotten StoreDuty.cpp 's/    return updateVersion_ > known.endpointsVersion \&\& .*/    return false;/'
relay cut-off-reader-is-asked PeerLoads.cpp 's/ \&\& !peer.isStale//'
relay silent-aggregator-is-kept DigestRoutes.cpp 's/return node.receivedAt.count() != 0 \&\& now < node.receivedAt + AnswerTimeout;/return true;/'
relay sum-of-the-fleet-is-ignored PeerLoads.cpp 's/if (isFresh(fleetSum_, now) \&\& /if (false \&\& /'
relay own-load-counts-twice PeerLoads.cpp 's/        add(others_, sentLoads_, -1);/        (void)0;/'
relay all-aggregators-read PeerLoads.cpp 's/constexpr std::size_t ReaderCount = 3;/constexpr std::size_t ReaderCount = 30;/'
relay new-instance-reads-at-once StoreDuty.cpp 's/constexpr Ms JoinTimeout{1000};/constexpr Ms JoinTimeout{0};/'
relay no-spread Candidates.cpp 's/constexpr double MaxCostSpread = .*;/constexpr double MaxCostSpread = 0;/'
relay no-admission StreamCalls.cpp 's/constexpr double MaxWaitRatio = .*;/constexpr double MaxWaitRatio = 1000;/'
relay failing-endpoint-attracts Candidates.cpp 's/constexpr double FailureCost = .*;/constexpr double FailureCost = 0;/'
relay errors-are-not-retried StreamCalls.cpp 's/const bool canRetry = hasFailed \&\& /const bool canRetry = false \&\& /'
relay first-request-is-hedged PlainCalls.cpp 's/const double hedgeDelay = latency > 0 ?/const double hedgeDelay = true ?/'
relay quarantine-not-kept QuarantineKeeper.cpp 's/    kept_.try_emplace(signature);/    (void)signature;/'
relay quarantine-kept-for-ever QuarantineKeeper.cpp 's/    acquitted_.insert(signature);/    (void)0;/'
relay crash-unlisted-endpoint CrashGuard.cpp 's/if (!state.listed \&\& !state.entry.draining) {/if (false) {/'
relay crash-gone-endpoint CrashGuard.cpp 's/if (state.foundGoneAt >= broken.brokenAt) {/if (false) {/'
relay crash-inference-refutes-all CrashEvidence.cpp 's/(entry.inference == inference || entry.inference == 0)/true/'
relay crash-evidence-dropped-by-age CrashEvidence.cpp 's/std::min(openCrashes(suspicions).size(), ConvictingCrashes)/std::size_t{0}/'
relay crash-inferred-in-doubt CrashChecks.cpp 's/crashGuard.tick(!reach.isInDoubt(), now)/crashGuard.tick(true, now)/'
relay crash-inference-unverified CrashGuard.cpp 's/const auto endpoint = report.inference != 0 ? /const auto endpoint = false ? /'
relay crash-unstated-inference-trusted CrashGuard.cpp 's/report.inference != 0 ? /report.inference > wire::UnstatedInference ? /'
relay crash-unstated-restart-refuted CrashGuard.cpp 's/wire::UnstatedInference ? MaxListLag : /wire::UnstatedInference ? Ms{0} : /'
relay crash-behind-hanging-connection Calls.cpp 's/^        suspectLateCrash(now, call);/        (void)0;/'
relay reach-is-never-lost EndpointReach.cpp 's/isCutOff_ = needed /isCutOff_ = false \&\& needed /'
relay reach-lost-by-one-failure EndpointReach.cpp 's/FailuresNeeded = 3;/FailuresNeeded = 1;/'
relay handover-of-what-was-handed-over HandOvers.cpp 's/ || call.isHandedOver / /'
relay handover-lost-answer-has-not-run HandOvers.cpp 's/^        call.mayHaveRun = true;/        (void)0;/'
relay handover-refused-ends HandOvers.cpp 's/if (concernsInstanceOnly(kind)) {/if (false) {/'
relay handover-runs-uncounted HandOvers.cpp 's/        ++call.priorRuns;/        (void)0;/'
relay handover-stands-still StreamMoves.cpp 's/return watchHandOver(now, call);/return;/'
relay handover-to-unfit-instance HandOverPeers.cpp 's/ \&\& !isKnownAsUnfit / /'
relay handover-to-rolled-back-instance HandOverPeers.cpp 's/ || takeNone_.contains(entry.id)//'
relay handover-address-outlives-digest HandOverPeers.cpp 's/            found->second.address.clear();/            (void)0;/'
relay handover-counted-as-retry HandOvers.cpp 's/const bool mayRunTwice = .*;/const bool mayRunTwice = call.attemptCount > 0;/'
relay handover-runs-by-older-configuration Admission.cpp 's/if (arrival.configVersion > config->version) {/if (false) {/'
relay handover-outdated-refusal-counts HandOvers.cpp 's/const bool isOutdated = followsFromConfig/const bool isOutdated = false \&\& followsFromConfig/'
relay handover-to-instance-behind HandOverPeers.cpp 's/ \&\& !isBehind(peer->second, configVersion, now)/ \&\& (true || !isBehind(peer->second, configVersion, now))/'
relay handover-behind-is-long-avoided HandOverPeers.cpp 's/BehindAvoidTime{250}/BehindAvoidTime{2000}/'
relay handover-refused-stream-ends HandOvers.cpp 's/    if (isUnderWay(call) || waitsForEndpoints(now, call)) {/    if (isUnderWay(call)) {/'
relay stream-is-moved-to-nothing StreamMoves.cpp 's/return canStartStream(now, call) ? std::nullopt : .*;/return std::nullopt;/'
relay silent-endpoint-stays-excluded StreamMoves.cpp 's/        call.excluded = excludedBefore;.*/        (void)0;/'
relay kept-attempt-outlives-its-endpoint StreamMoves.cpp 's/if ((attempt.isKept || isLate) \&\& hasEnded(runOf(id))/if (false/'
relay both-attempts-go-on StreamCalls.cpp 's/^    settle(call, attempt);/    (void)0;/'
relay refused-move-ends-the-stream StreamCalls.cpp '/The attempt that it was to supersede may go on/,/return;/s/        return;/        (void)0;/'
relay broken-move-ends-the-stream StreamCalls.cpp 's/        return; \/\/ Another attempt is still open./        (void)0;/'
relay writer-is-not-told StreamMoves.cpp 's/        driver.continueStream(call.id, attempt);/        (void)0;/'
fleet unsafe-is-sent-again Calls.cpp 's/RequestKind::AtMostOnce ? !call.mayHaveRun :/RequestKind::AtMostOnce ? true :/'
fleet silence-is-an-end Calls.cpp 's/(!state.listed \&\& isSilent(run.first))/isSilent(run.first)/'
fleet broken-has-not-run Calls.cpp 's/^        call->mayHaveRun = true;/        (void)0;/'
fleet old-configuration-for-keys Admission.cpp 's/if (!configIsCurrent(now, maxConfigAgeForKeys())) {/if (false) {/'
fleet older-configuration-is-kept-young StoreDuty.cpp 's/if (reply.configVersion == known.configVersion) {/if (true) {/'
fleet lease-outlives-a-pause PlannerDuty.cpp 's/    return now < validUntil_ \&\& /    return validUntil_.count() != 0 \&\& /'
fleet epoch-of-the-list-is-ignored EndpointList.cpp 's/if (version < version_) {/if (version.revision < version_.revision) {/'
fleet draining-gets-work EndpointRegistry.cpp 's/ \&\& !state.entry.draining//'
fleet detour-leaves-its-load Calls.cpp 's/        --state.openRequests;/        (void)0;/'
break_it placementTests placement-layer-is-left-out libs/placement/src/PipelineChooser.cpp 's/const bool covers = holder.usable \&\& holder.held.first <= layer \&\& /const bool covers = holder.usable \&\& /'
break_it placementTests placement-full-holder-is-used libs/placement/src/PipelineChooser.cpp 's/    if (fill > 1) {/    if (false) {/; s/        if (fill > 1) {/        if (false) {/'
break_it placementTests placement-range-over-memory libs/placement/src/EngineProfile.cpp 's/const double freeMb = kind.memoryMb - .*;/const double freeMb = kind.memoryMb;/'
break_it placementTests placement-no-move libs/placement/src/LayerPlanner.cpp 's/constexpr double MinMoveGain = 0.35;/constexpr double MinMoveGain = 1e9;/'
break_it placementTests placement-relief-makes-others-scarce libs/placement/src/LayerPlanner.cpp 's/isAffordable \&\& gain > 0/gain > 0/'
break_it placementTests placement-relief-costs-a-zone libs/placement/src/LayerPlanner.cpp 's/isAffordable \&\& gain > 0/isAffordable/'
break_it placementTests placement-no-relief-under-load libs/placement/src/LayerPlanner.cpp 's/isAffordable \&\& gain > 0/isAffordable \&\& rank > MinMoveGain/'
break_it placementTests placement-herd libs/placement/src/PipelineChooser.cpp 's/const double waitMs = std::max(0.0, backlogMs - typicalFirstMs);/const double waitMs = 0;/'
break_it placementTests placement-zone-link-is-free libs/placement/src/PipelineChooser.cpp 's/stage.waitMs = crossesZone ? std::max(stage.waitMs, zoneLinkBacklogMs_) : stage.waitMs;/(void)0;/'
break_it meshTests mesh-connection-in-use-is-closed libs/mesh/src/details/ConnectionTable.h 's/return now >= entry.second.usedAt + idleTimeout_;/return true;/'
break_it platformAdapterTests adapter-key-is-passed-on platform/Messages.cpp 's/        names::ApiKey, names::Team, names::TimeLimitMs,/        names::Team, names::TimeLimitMs,/'
break_it platformAdapterTests adapter-any-endpoint-may-run-it platform/Messages.cpp 's/    add(names::ExpectedEndpoint, dispatch.endpoint);/    (void)0;/'
break_it platformAdapterTests adapter-seal-is-not-needed platform/Messages.cpp 's/head.verified = !net::headerIn(headers, names::Seal).empty() \&\& /head.verified = /'
break_it platformAdapterTests adapter-any-503-is-not-run platform/Messages.cpp 's/(status == Misdirected ||/(status == Misdirected || status == 503 ||/'
break_it platformAdapterTests adapter-answer-to-another-counts platform/Messages.cpp 's/head.notRun = id != relayhost::AnswerId::Other \&\& /head.notRun = /'
break_it platformAdapterTests adapter-member-named-twice-is-read platform/StoredObjects.cpp 's/ \&\& isUnambiguous(object, members, "Spec")//'
break_it platformAdapterTests adapter-strings-may-hold-brackets libs/json/src/JsonPieces.cpp "s/        if (byte == '\"') {/        if (false) {/"
break_it platformAdapterTests adapter-any-host-is-an-address platform/EndpointEntries.cpp 's/!net::isValid(net::parseAddress(\*address))/net::parseAddress(*address).port == 0/'
break_it netTests net-any-status-is-http libs/net/src/ResponseHead.cpp 's/return status >= FirstStatus \&\& status <= LastStatus \&\& /return status >= 0 \&\& /'
break_it netTests net-unreadable-event-is-none libs/net/src/EventFrames.cpp 's/FrameKind::Event : FrameKind::Unreadable;/FrameKind::Event : FrameKind::NoEvent;/'
break_it netTests net-blank-lines-are-an-event libs/net/src/EventFrames.cpp 's/if (!line.empty() || !hasLines_) {/if (!line.empty()) {/'
break_it netTests net-extra-bytes-are-kept libs/net/src/details/ResponseReader.h 's/ \&\& buffer_.size() == 0;/;/'
break_it netTests net-answer-to-another-is-taken libs/net/src/HttpClient.cpp 's/const bool isStray = state.progress.isOnKeptConnection \&\& .*;/const bool isStray = false;/'
break_it netTests net-interim-header-is-the-response libs/net/src/ResponseReader.cpp 's/const bool isInterim = headers \&\& .*;/const bool isInterim = false;/'
break_it netTests net-cut-drops-what-is-queued libs/net/src/Connection.cpp 's/    \/\/ The client can use what is queued or on its way.*/    close();/'
break_it netTests net-unknown-coding-has-no-body libs/net/src/MessageEnd.cpp 's/return count == 1 \&\& .*;/return true;/'
break_it netTests net-fields-behind-a-body-count libs/net/src/Connection.cpp 's/std::move(headers_), std::move(message.body())/headersOf(message), std::move(message.body())/; s/^#include "details\/ResponseText.h"/#include "details\/HeaderFields.h"\n&/'
break_it netTests net-idle-connections-stay libs/net/src/details/IdleConnections.h 's/return now >= entry.closeAt;/return now < Time{} \&\& now >= entry.closeAt;/'
break_it netTests net-idle-close-cuts-a-request libs/net/src/ConnectionEnd.cpp 's/if (!isIdle_ || hasInput()) {/if (false) {/'
break_it netTests net-untaken-time-is-one-for-all libs/net/src/ConnectionEnd.cpp 's/    untakenTime_ = std::max(untakenTime_, std::min<.*/    (void)0;/'
break_it netTests net-untaken-progress-is-overlooked libs/net/src/ConnectionEnd.cpp 's/if (taken != takenBytes_) {/if (false) {/'
break_it netTests net-untaken-for-ever libs/net/src/ConnectionEnd.cpp 's/if (now - takenAt_ < untakenTime_) {/if (true) {/'
break_it netTests net-untaken-earlier-answer-loses-its-time libs/net/src/ConnectionEnd.cpp 's/untakenTime_ = isTakingWatched_ ? .*/untakenTime_ = server_->limits.untakenTimeout;/'
break_it netTests net-untaken-makes-room-at-once libs/net/src/ConnectionEnd.cpp 's/>= answerDueAt_;/> takenAt_;/'
break_it netTests net-idle-before-delivery libs/net/src/ConnectionEnd.cpp 's/timeLeft.count() <= 0 \&\& unacknowledgedBytes() > 0/false/; s/    if (unacknowledgedBytes() > 0) {/    if (server_->closing \&\& unacknowledgedBytes() > 0) {/'
break_it netTests net-stop-before-delivery libs/net/src/ConnectionEnd.cpp 's/    if (unacknowledgedBytes() > 0) {/    if (!server_->closing \&\& unacknowledgedBytes() > 0) {/'
break_it netTests net-change-cuts-a-request libs/net/src/ConnectionReading.cpp 's/std::max(requestTimeout_, server_->limits.requestTimeout)/server_->limits.requestTimeout/'
break_it netTests net-change-cuts-a-stream libs/net/src/Connection.cpp 's/std::max(queuedLimit_, server_->limits.queuedResponseBytes)/server_->limits.queuedResponseBytes/'
break_it netTests net-slow-peer-is-gone libs/net/src/HttpClient.cpp 's/    if (isLarge) {/    if (false) {/'
break_it netTests net-gone-peer-is-slow libs/net/src/AckWatch.cpp 's/return now - \*waitingSince_ >= bound_;/return false;/'
break_it netTests net-idle-peer-is-gone libs/net/src/AckWatch.cpp 's/waitingSince_ ? std::max(.*) : now;/now - state.sinceAck;/'
break_it relayhostTests follower-gap-is-overlooked libs/relayhost/src/StoreFollower.cpp 's/^            return listEndpoints();/            return watchEndpoints();/'
break_it relayhostTests follower-lists-without-a-pause libs/relayhost/src/StoreFollower.cpp 's/        if (listedAfterGapAt_ > due) {/        if (true) {/'
break_it netTests net-expired-timer-acts libs/net/src/details/OperationTimeout.h 's/if (!error \&\& operation == operation_) {/if (!error) {/'
break_it netTests net-last-answer-is-reset libs/net/src/Connection.cpp 's/if (!keepAlive_ \&\& !broken_) {/if (false) {/'
break_it netTests net-next-request-is-dropped libs/net/src/Connection.cpp 's/server_->closing \&\& buffer_.size() == 0 \&\& !hasInput();/server_->closing;/'
break_it netTests net-head-has-a-body libs/net/src/Connection.cpp 's/const bool withoutBody = isHead_ || /const bool withoutBody = /'
break_it netTests net-second-head libs/net/src/Connection.cpp 's/if (isMisuse(responseState_ != ResponseState::None)) {/if (false) {/'
break_it netTests net-read-buffer-is-unbounded libs/net/src/details/BoundedRead.h 's/return std::max(headerBytes, FramingBytes) + SpareBufferBytes;/return headerBytes + (1UL << 40U);/'
break_it netTests net-framing-is-free libs/net/src/details/BoundedRead.h 's/return bytesBehindHeader > bodyBytes \&\& .*;/return false \&\& bytesBehindHeader > bodyBytes;/'
break_it netTests net-read-timeout-is-renewed-for-ever libs/net/src/ConnectionReading.cpp 's/\[this\]() { endReading(); });/[this, timeout]() { startReadTimeout(timeout); });/'
break_it netTests net-smallest-share-goes-first libs/net/src/HeldBytes.cpp 's/> std::pair(other->bytes, other->number)/< std::pair(other->bytes, other->number)/'
break_it netTests net-shorter-idle-timeout-at-once libs/net/src/IdleTimeouts.cpp 's/start <= replaced.until ? std::max(longest, replaced.timeout) : longest/longest/'
break_it relayhostTests host-any-attempt-writes libs/relayhost/include/relayhost/CallerResponse.h 's/ \&\& attempt == writer_;/;/'
break_it relayhostTests follower-epoch-is-overlooked libs/relayhost/src/StoreFollower.cpp 's/ || changes->version.epoch != version_.epoch//'
break_it relayhostTests follower-is-registered-for-good libs/relayhost/src/StoreFollower.cpp 's/ \&\& listing.epoch == registeredEpoch_//'
echo "$caught noticed, $missed not"
[ $missed -eq 0 ]
