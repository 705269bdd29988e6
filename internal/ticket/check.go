package ticket

import (
	"math"
	"strconv"
)

// States of a zone or backend server.
const (
	StateIn  = "in"
	StateOut = "out"
)

// Kinds of service.
const (
	ModelService = "model"
	PlainService = "plain"
)

// Roles of a backend server.
const (
	AnyRole     = ""
	PrefillRole = "prefill"
	DecodeRole  = "decode"
)

// Bounds of field values.
const (
	maxStallMS     = 3600_000
	maxConcurrency = 100_000 // requests per backend server
	maxAdapters    = 256     // per model
	maxRanks       = 4096    // per group
	maxSlots       = 4096    // per rank and layer
)

// Check validates a ticket against the state that it would be folded into, and returns an InvalidError.
func Check(s *State, t Ticket) error {
	_, err := s.with(t)
	return err
}

// checkTicket validates a ticket on its own.
func checkTicket(t Ticket) error {
	if t.Number == 0 {
		return invalid("number", "must be at least 1")
	}
	if err := checkName("author", t.Author); err != nil {
		return err
	}
	if err := checkEach("teams", t.Objects.Teams, checkTeam); err != nil {
		return err
	}
	if err := checkEach("zones", t.Objects.Zones, checkZone); err != nil {
		return err
	}
	if err := checkEach("services", t.Objects.Services, checkService); err != nil {
		return err
	}
	if err := checkEach("models", t.Objects.Models, checkModel); err != nil {
		return err
	}
	if err := checkEach("backends", t.Objects.Backends, checkBackend); err != nil {
		return err
	}
	return checkEach("groups", t.Objects.Groups, checkGroup)
}

// checkEach validates the objects in the order of their names, so that all processes report the same reason.
func checkEach[T any](kind string, objects map[string]*T, check func(field string, o *T) error) error {
	for _, name := range sortedNames(objects) {
		if err := checkName(kind, name); err != nil {
			return err
		}
		o := objects[name]
		if o == nil {
			continue
		}
		if err := check(kind+"."+name, o); err != nil {
			return err
		}
	}
	return nil
}

func checkTeam(field string, o *Team) error {
	if math.IsNaN(o.Share) || math.IsInf(o.Share, 0) || o.Share <= 0 {
		return invalid(field+".share", "must be finite and above 0")
	}
	return nil
}

func checkZone(field string, o *Zone) error {
	return checkEnum(field+".state", o.State, StateIn, StateOut)
}

func checkService(field string, o *Service) error {
	if err := checkEnum(field+".kind", o.Kind, ModelService, PlainService); err != nil {
		return err
	}
	if o.Kind == PlainService && o.Model != "" {
		return invalid(field+".model", "must be empty for a plain service")
	}
	if o.Kind == ModelService && o.Model == "" {
		return invalid(field+".model", "must be set for a model service")
	}
	if o.StallTimeout > maxStallMS {
		return invalid(field+".stall", "must be at most "+strconv.Itoa(maxStallMS)+" ms")
	}
	if o.MaxConcurrency == 0 || o.MaxConcurrency > maxConcurrency {
		return invalid(field+".bears", "must be from 1 to "+strconv.Itoa(maxConcurrency))
	}
	if o.MaxColdConcurrency == 0 || o.MaxColdConcurrency > o.MaxConcurrency {
		return invalid(field+".cold", "must be from 1 to bears")
	}
	return nil
}

func checkModel(field string, o *Model) error {
	if err := checkName(field+".version", o.Version); err != nil {
		return err
	}
	return checkNames(field+".adapters", o.Adapters, maxAdapters)
}

func checkBackend(field string, o *Backend) error {
	if err := checkEnum(field+".state", o.State, StateIn, StateOut); err != nil {
		return err
	}
	return checkEnum(field+".role", o.Role, AnyRole, PrefillRole, DecodeRole)
}

func checkGroup(field string, o *Group) error {
	if len(o.Ranks) == 0 {
		return invalid(field+".ranks", "must not be empty")
	}
	if err := checkNames(field+".ranks", o.Ranks, maxRanks); err != nil {
		return err
	}
	if o.Slots < 1 || o.Slots > maxSlots {
		return invalid(field+".slots", "must be from 1 to "+strconv.Itoa(maxSlots))
	}
	return nil
}

// checkReferences validates the references between the changed objects and the rest of the state.
func checkReferences(all, changed *Objects) error {
	if len(changed.Services) > 0 || len(changed.Models) > 0 {
		if err := checkModels(all); err != nil {
			return err
		}
	}
	if len(changed.Groups) > 0 {
		return checkRanks(all)
	}
	return nil
}

func checkModels(all *Objects) error {
	for _, name := range sortedNames(all.Services) {
		s := all.Services[name]
		if s.Kind != ModelService {
			continue
		}
		if _, ok := all.Models[s.Model]; !ok {
			return invalid("services."+name+".model", "names "+s.Model+", which does not exist")
		}
	}
	return nil
}

// checkRanks rejects an agent in two groups, as a rank runs in lock-step with one group only.
func checkRanks(all *Objects) error {
	owner := make(map[string]string)
	for _, name := range sortedNames(all.Groups) {
		for _, rank := range all.Groups[name].Ranks {
			if other, ok := owner[rank]; ok {
				return invalid("groups."+name+".ranks", "names "+rank+", which is in group "+other)
			}
			owner[rank] = name
		}
	}
	return nil
}
