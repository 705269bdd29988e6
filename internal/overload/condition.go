package overload

import "carawaypick/internal/routing"

// maxDirectoryEntries is the number of entries that one directory answer names.
const maxDirectoryEntries = 64

// Coordinated reports whether coordinated admission is on: some service is used by routes of more than one priority, or there
// are more entries than one directory answer names. Known is the number of entries heard lately, alive or not.
func Coordinated(config *routing.Config, known int) bool {
	if known > maxDirectoryEntries {
		return true
	}
	if config == nil {
		return false
	}
	priorities := make(map[string]int)
	mixed := func(service string, priority int) bool {
		first, used := priorities[service]
		priorities[service] = priority
		return used && first != priority
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		if len(r.Split) == 0 {
			if mixed(r.Service, r.Priority) {
				return true
			}
			continue
		}
		for _, w := range r.Split {
			if w.Weight > 0 && mixed(w.Service, r.Priority) {
				return true
			}
		}
	}
	return false
}
