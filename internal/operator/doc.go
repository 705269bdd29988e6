// Package operator speaks to operators: what each process believes and why requests went where they went.
package operator
