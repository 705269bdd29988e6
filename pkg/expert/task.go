package expert

import (
	"math"

	"carawaypick/pkg/clock"
)

// beyond is the distance from the expected greatest draw to what counts as no noise, in standard deviations.
const beyond = 0.6

// task is a layer whose skew is above what noise explains.
type task struct {
	layer  int
	shares []float64
	goal   float64 // skew to reach
	least  float64 // skew that a change must take
}

func (p *Planner) tasks() []task {
	var tasks []task
	for l, e := range p.estimates {
		shares, tokens := e.best()
		if shares == nil {
			continue
		}
		skew := LayerSkew(p.current[l], shares)
		if skew < 1+p.settings.Trigger {
			continue
		}
		noise := p.noise(p.current[l], shares, tokens/e.noise)
		bound := LayerBound(p.shape, shares)
		least := max(p.settings.Trigger, p.sigma()*noise*e.caution())
		if skew-bound >= least {
			tasks = append(tasks, task{layer: l, shares: shares, goal: bound + max(p.settings.Goal, noise/2), least: least})
		}
	}
	return tasks
}

// improveLayer returns the stages to the layer's next placement, none where staying is better.
func (p *Planner) improveLayer(t task, price float64, loads int) []Stage {
	next := newPlacement(t.layer, cloneLayer(p.current[t.layer]), t.shares)
	next.base, next.spare, next.free = p.current[t.layer], p.settings.Spare, p.settings.Free
	stages, gain := worth(next.improve(t.goal, loads), price)
	if gain < t.least {
		return nil
	}
	return stages
}

// price returns the skew that one load must take from its layer to pay for itself.
func (p *Planner) price(r Report) float64 {
	lost := r.load() * p.settings.Stall * float64(clock.Second)
	horizon := float64(p.settings.Horizon) * float64(p.settings.Step)
	return max(p.settings.Least/float64(p.shape.Ranks), lost/horizon*float64(p.shape.Layers))
}

// sigma returns the standard deviations that a change must exceed: more where more ranks and layers
// are watched, since the greatest of many draws lies further out.
func (p *Planner) sigma() float64 {
	watched := float64(p.shape.Ranks * p.shape.Layers)
	if p.settings.Sigma == 0 {
		return 0
	}
	return max(p.settings.Sigma, beyond+math.Sqrt(2*math.Log(watched)))
}

// noise returns the standard deviation of the busiest rank's load over the mean load
// if the shares rest on so many independent tokens.
func (p *Planner) noise(ranks [][]int, shares []float64, tokens float64) float64 {
	copies := make([]float64, len(shares))
	for _, slots := range ranks {
		for _, e := range slots {
			copies[e]++
		}
	}
	most, variance := -1.0, 0.0
	for _, slots := range ranks {
		load, sum := 0.0, 0.0
		for _, e := range slots {
			load += shares[e] / copies[e]
			sum += shares[e] / (copies[e] * copies[e])
		}
		if load > most {
			most, variance = load, sum
		}
	}
	return float64(len(ranks)) * math.Sqrt(variance/tokens)
}
