package rules

import (
	"slices"

	"cranberrydrum.dev/scheduler/structs"
)

// nameSpec describes a positional name of a rule.
type nameSpec struct {
	label   string
	kind    kind
	allowed []string
}

// fieldSpec describes a key=value field. The bounds min and max are inclusive
// and in the base unit of the kind.
type fieldSpec struct {
	key      string
	kind     kind
	required bool
	min, max int64
	allowed  []string
	// identity marks a field that is part of the identity of a rule.
	identity bool
}

// ruleSpec describes the rules of one keyword.
type ruleSpec struct {
	keyword string
	names   []nameSpec
	fields  []fieldSpec
	// singleton marks a rule that must be present exactly once.
	singleton bool
	add       func(*structs.Config, *statement)
}

// Keywords of rules.
const (
	kwRegion    = "region"
	kwDomain    = "failure-domain"
	kwHost      = "host"
	kwLink      = "link"
	kwCustomer  = "customer"
	kwGuarantee = "guarantee"
	kwQuota     = "quota"
	kwService   = "service"
	kwClass     = "class"
	kwGrant     = "grant"
	kwToken     = "token"
	kwKeys      = "keys"
	kwPolicy    = "policy"
)

// Keys of fields.
const (
	keyRegion         = "region"
	keyRacks          = "racks"
	keyWorkersPerRack = "workers-per-rack"
	keyAccelPerWorker = "accelerators-per-worker"
	keyKeys           = "keys"
	keyPeer           = "peer"
	keyDisk           = "disk"
	keyCapacity       = "capacity"
	keySpill          = "spill"
	keyWeight         = "weight"
	keyWorkers        = "workers"
	keyAccelerators   = "accelerators"
	keyDomain         = "failure-domain"
	keySlots          = "slots"
	keyConnections    = "connections"
	keyRetryBudget    = "retry-budget"
	keyMaxAttempts    = "max-attempts"
	keyAttemptTimeout = "attempt-timeout"
	keyReserved       = "reserved"
	keyMaxQueue       = "max-queue"
	keyDeadline       = "deadline"
	keyService        = "service"
	keyMaxPriority    = "max-priority"
	keyRole           = "role"
	keyCustomer       = "customer"
	keyRetention      = "retention"
	keyMaxKeys        = "max-keys"
	keyPeakDemand     = "peak-demand"
	keyCompletion     = "completion"
)

// Bounds of values, in the base unit of their kind: counts, milliseconds, bytes
// per second or thousandths of a percent.
const (
	maxCount                 = 1_000_000
	maxTopologyCount         = 1_000
	maxAcceleratorsPerWorker = 64
	maxWeight                = 1_000
	maxAttempts              = 10
	maxKeys                  = 10_000_000
	maxTimeoutMS             = 3_600 * 1_000
	maxDeadlineMS            = 24 * 3_600 * 1_000
	minRetentionMS           = 60 * 1_000
	maxRetentionMS           = 30 * 24 * 3_600 * 1_000
	maxBytesPerSecond        = 125 * 1_000 * 1_000 * 1_000
	hundredPercent           = 100 * percentScale
)

var (
	onOff      = []string{"off", "on"}
	classes    = []string{string(structs.ClassUrgent), string(structs.ClassNormal), string(structs.ClassBulk)}
	priorities = []string{"bulk", "normal", "urgent"}
	roles      = []string{string(structs.RoleCaller), string(structs.RoleOperator), string(structs.RoleBackend), string(structs.RoleWorker)}
)

// specs lists the keywords in the order in which Diff reports changes.
var specs = []*ruleSpec{
	{keyword: kwRegion, names: []nameSpec{{label: "region"}}, add: addRegion},
	{keyword: kwDomain, names: []nameSpec{{label: "failure domain"}}, add: addDomain, fields: []fieldSpec{
		{key: keyRegion, required: true},
		{key: keyRacks, kind: kindCount, required: true, max: maxTopologyCount},
		{key: keyWorkersPerRack, kind: kindCount, required: true, min: 1, max: maxTopologyCount},
		{key: keyAccelPerWorker, kind: kindCount, required: true, min: 1, max: maxAcceleratorsPerWorker},
		{key: keyKeys, kind: kindWord, allowed: onOff},
	}},
	{keyword: kwHost, names: []nameSpec{{label: "host"}}, add: addHost, fields: []fieldSpec{
		{key: keyDomain, required: true},
		{key: keyPeer, kind: kindAddress, required: true},
		{key: keyDisk, kind: kindWord, allowed: onOff},
	}},
	{keyword: kwLink, names: []nameSpec{{label: "region"}, {label: "other region"}}, add: addLink, fields: []fieldSpec{
		{key: keyCapacity, kind: kindRate, required: true, min: 1, max: maxBytesPerSecond},
		{key: keySpill, kind: kindRate, required: true, max: maxBytesPerSecond},
	}},
	{keyword: kwCustomer, names: []nameSpec{{label: "customer"}}, add: addCustomer, fields: []fieldSpec{
		{key: keyWeight, kind: kindCount, min: 1, max: maxWeight},
	}},
	{keyword: kwGuarantee, names: []nameSpec{{label: "customer"}, {label: "failure domain"}}, add: addGuarantee, fields: []fieldSpec{
		{key: keyRacks, kind: kindCount, max: maxTopologyCount},
		{key: keyWorkers, kind: kindCount, max: maxCount},
		{key: keyAccelerators, kind: kindCount, max: maxCount},
	}},
	{keyword: kwQuota, names: []nameSpec{{label: "customer"}}, add: addQuota, fields: []fieldSpec{
		{key: keyDomain, identity: true},
		{key: keyAccelerators, kind: kindCount, required: true, max: maxCount},
	}},
	{keyword: kwService, names: []nameSpec{{label: "service"}}, add: addService, fields: []fieldSpec{
		{key: keySlots, kind: kindCount, required: true, min: 1, max: maxCount},
		{key: keyConnections, kind: kindCount, required: true, min: 1, max: maxCount},
		{key: keyRetryBudget, kind: kindPercent, required: true, max: hundredPercent},
		{key: keyMaxAttempts, kind: kindCount, required: true, min: 1, max: maxAttempts},
		{key: keyAttemptTimeout, kind: kindDuration, required: true, min: 1, max: maxTimeoutMS},
	}},
	{keyword: kwClass, names: []nameSpec{{label: "service"}, {label: "class", kind: kindWord, allowed: classes}}, add: addClass, fields: []fieldSpec{
		{key: keyReserved, kind: kindPercent, max: hundredPercent},
		{key: keyMaxQueue, kind: kindCount, required: true, min: 1, max: maxCount},
		{key: keyDeadline, kind: kindDuration, required: true, min: 1, max: maxDeadlineMS},
	}},
	{keyword: kwGrant, names: []nameSpec{{label: "customer"}}, add: addGrant, fields: []fieldSpec{
		{key: keyService, identity: true},
		{key: keyDomain, identity: true},
		{key: keyMaxPriority, kind: kindWord, allowed: priorities},
	}},
	{keyword: kwToken, names: []nameSpec{{label: "token digest", kind: kindDigest}}, add: addToken, fields: []fieldSpec{
		{key: keyRole, kind: kindWord, required: true, allowed: roles},
		{key: keyCustomer},
	}},
	{keyword: kwKeys, singleton: true, add: addKeys, fields: []fieldSpec{
		{key: keyRetention, kind: kindDuration, required: true, min: minRetentionMS, max: maxRetentionMS},
		{key: keyMaxKeys, kind: kindCount, required: true, min: 1, max: maxKeys},
	}},
	{keyword: kwPolicy, singleton: true, add: addPolicy, fields: []fieldSpec{
		{key: keyPeakDemand, kind: kindPercent, required: true, max: hundredPercent},
		{key: keyCompletion, kind: kindPercent, required: true, max: hundredPercent},
	}},
}

func findSpec(keyword string) *ruleSpec {
	for _, spec := range specs {
		if spec.keyword == keyword {
			return spec
		}
	}
	return nil
}

func keywords() []string {
	words := make([]string, 0, len(specs))
	for _, spec := range specs {
		words = append(words, spec.keyword)
	}
	return words
}

func (r *ruleSpec) field(key string) *fieldSpec {
	i := slices.IndexFunc(r.fields, func(f fieldSpec) bool { return f.key == key })
	if i < 0 {
		return nil
	}
	return &r.fields[i]
}

func (r *ruleSpec) fieldKeys() []string {
	keys := make([]string, 0, len(r.fields))
	for _, f := range r.fields {
		keys = append(keys, f.key)
	}
	return keys
}
